//! A small reader of paths in a JSON value: each look-up that fails is kept as a fault under its path, so that
//! all faults are told at once.

use std::cell::RefCell;
use std::rc::Rc;

use serde_json::Value;

/// A place in a document.
#[derive(Clone)]
pub struct At<'a> {
    value: Option<&'a Value>,
    path: String,
    faults: Rc<RefCell<Vec<String>>>,
}

/// Faults beyond these are counted, not told.
const FAULTS_TOLD: usize = 50;

impl<'a> At<'a> {
    pub fn root(value: &'a Value) -> Self {
        At { value: Some(value), path: String::new(), faults: Rc::default() }
    }

    /// The faults met so far, by any reader of this document.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = self.faults.borrow().clone();
        if faults.len() > FAULTS_TOLD {
            let more = faults.len() - FAULTS_TOLD;
            faults.truncate(FAULTS_TOLD);
            faults.push(format!("and {more} more"));
        }
        faults
    }

    pub fn fault(&self, what: &str) {
        let path = if self.path.is_empty() { "the whole" } else { &self.path };
        self.faults.borrow_mut().push(format!("{path}: {what}"));
    }

    pub fn get(&self, key: &str) -> At<'a> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        At { value: self.value.and_then(|v| v.get(key)), path, faults: self.faults.clone() }
    }

    pub fn is_there(&self) -> bool {
        self.value.is_some_and(|v| !v.is_null())
    }

    fn read<T>(&self, kind: &str, as_kind: impl Fn(&'a Value) -> Option<T>) -> Option<T> {
        let read = self.value.and_then(as_kind);
        if read.is_none() {
            self.fault(&format!("{kind} is needed here"));
        }
        read
    }

    pub fn text(&self) -> &'a str {
        self.read("text", Value::as_str).unwrap_or_default()
    }

    /// A text that is not empty.
    pub fn name(&self) -> String {
        let text = self.text();
        if text.is_empty() && self.value.is_some_and(Value::is_string) {
            self.fault("a name is needed here");
        }
        text.to_owned()
    }

    pub fn whole(&self) -> u64 {
        self.read("a whole number that is not negative", Value::as_u64).unwrap_or_default()
    }

    pub fn number(&self) -> f64 {
        self.read("a number", Value::as_f64).unwrap_or_default()
    }

    pub fn flag(&self) -> bool {
        self.read("true or false", Value::as_bool).unwrap_or_default()
    }

    pub fn list(&self) -> Vec<At<'a>> {
        let items = self.read("a list", Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let at = |(number, value)| {
            let path = format!("{}[{number}]", self.path);
            At { value: Some(value), path, faults: self.faults.clone() }
        };
        items.iter().enumerate().map(at).collect()
    }

    /// The names in a table, in their order.
    pub fn map_keys(&self) -> Vec<String> {
        let table = self.read("a table", Value::as_object);
        table.into_iter().flatten().map(|(key, _)| key.clone()).collect()
    }

    /// Reads what may be left out.
    pub fn or<T>(&self, otherwise: T, read: impl Fn(&Self) -> T) -> T {
        if self.is_there() { read(self) } else { otherwise }
    }
}
