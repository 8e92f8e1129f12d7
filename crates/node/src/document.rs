//! Reads a JSON document field by field. Each missing or invalid field is recorded as a fault with its path,
//! so that all faults of a document are reported at once.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use derive_more::Error;
use serde_json::Value;

/// Faults that are reported one by one. Further faults are only counted.
const MAX_REPORTED_FAULTS: usize = 50;
/// Path of the document itself in faults.
const ROOT: &str = "the whole";

/// Fault of one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `routes[2].kind`.
    path: String,
    /// What the field requires.
    problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Faults of a document, at least one.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Faults {
    reported: Vec<Fault>,
    /// Number of faults that are not in `reported`.
    unreported: usize,
}

impl Faults {
    /// Creates the single fault of a document that cannot be parsed.
    #[must_use]
    pub fn unreadable(reason: impl fmt::Display) -> Self {
        let fault = Fault { path: ROOT.to_owned(), problem: reason.to_string() };
        Faults { reported: vec![fault], unreported: 0 }
    }

    /// Returns one line for each reported fault, and one with the number of the others, if any.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut lines: Vec<String> = self.reported.iter().map(Fault::to_string).collect();
        if self.unreported > 0 {
            lines.push(format!("and {} more", self.unreported));
        }
        lines
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().join("; "))
    }
}

/// Field of a document, which may be missing.
#[derive(Clone)]
pub struct Field<'a> {
    value: Option<&'a Value>,
    path: String,
    /// Faults of all fields of the document, shared among them.
    faults: Rc<RefCell<Vec<Fault>>>,
}

impl<'a> Field<'a> {
    /// Returns the document itself as a field.
    #[must_use]
    pub fn root(document: &'a Value) -> Self {
        Field { value: Some(document), path: String::new(), faults: Rc::default() }
    }

    /// Returns the value that was read, if no field of the document has a fault.
    ///
    /// # Errors
    ///
    /// If any field of the document has reported a fault: all faults so far.
    pub fn finish<T>(&self, read: T) -> Result<T, Faults> {
        let faults = self.faults.borrow();
        if faults.is_empty() {
            return Ok(read);
        }
        let reported: Vec<Fault> = faults.iter().take(MAX_REPORTED_FAULTS).cloned().collect();
        let unreported = faults.len() - reported.len();
        Err(Faults { reported, unreported })
    }

    /// Records a fault of this field.
    pub fn report(&self, problem: &str) {
        let path = if self.path.is_empty() { ROOT } else { &self.path };
        let fault = Fault { path: path.to_owned(), problem: problem.to_owned() };
        self.faults.borrow_mut().push(fault);
    }

    /// Returns a field of this table, which may be missing.
    #[must_use]
    pub fn get(&self, key: &str) -> Field<'a> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        Field { value: self.value.and_then(|value| value.get(key)), path, faults: self.faults.clone() }
    }

    /// Whether the field exists and is not null.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.value.is_some_and(|value| !value.is_null())
    }

    /// Converts the value, or reports that a value of this kind is needed.
    fn read<T>(&self, kind: &str, as_kind: impl Fn(&'a Value) -> Option<T>) -> Option<T> {
        let read = self.value.and_then(as_kind);
        if read.is_none() {
            self.report(&format!("{kind} is needed here"));
        }
        read
    }

    /// Reads a text. Reports a fault and returns an empty text if the field is not one.
    #[must_use]
    pub fn text(&self) -> &'a str {
        self.read("text", Value::as_str).unwrap_or_default()
    }

    /// Reads a text that must not be empty.
    #[must_use]
    pub fn name(&self) -> String {
        let text = self.text();
        if text.is_empty() && self.value.is_some_and(Value::is_string) {
            self.report("a name is needed here");
        }
        text.to_owned()
    }

    /// Reads a non-negative integer. Reports a fault and returns 0 if the field is not one.
    #[must_use]
    pub fn unsigned(&self) -> u64 {
        self.read("a whole number that is not negative", Value::as_u64).unwrap_or_default()
    }

    /// Reads a number. Reports a fault and returns 0 if the field is not one.
    #[must_use]
    pub fn number(&self) -> f64 {
        self.read("a number", Value::as_f64).unwrap_or_default()
    }

    /// Reads a boolean. Reports a fault and returns false if the field is not one.
    #[must_use]
    pub fn flag(&self) -> bool {
        self.read("true or false", Value::as_bool).unwrap_or_default()
    }

    /// Reads the items of a list. Reports a fault and returns none if the field is not a list.
    #[must_use]
    pub fn items(&self) -> Vec<Field<'a>> {
        let items = self.read("a list", Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let item = |(index, value)| {
            let path = format!("{}[{index}]", self.path);
            Field { value: Some(value), path, faults: self.faults.clone() }
        };
        items.iter().enumerate().map(item).collect()
    }

    /// Reads the keys of a table, in its order. Reports a fault and returns none if the field is not a table.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let table = self.read("a table", Value::as_object);
        table.into_iter().flatten().map(|(key, _)| key.clone()).collect()
    }

    /// Reads an optional field: returns the default if it is missing or null.
    #[must_use]
    pub fn or<T>(&self, default: T, read: impl Fn(&Self) -> T) -> T {
        if self.is_present() { read(self) } else { default }
    }
}
