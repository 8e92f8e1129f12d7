//! Reading a JSON document field by field. What is missing or wrong is kept as a fault under its path, so that all faults of
//! a document are reported at once.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use derive_more::Error;
use serde_json::Value;

/// Faults beyond these are counted, not reported one by one.
const MAX_REPORTED_FAULTS: usize = 50;
/// How the document itself is named in faults.
const ROOT: &str = "the whole";

/// What is wrong with one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where it is, such as `routes[2].kind`.
    path: String,
    /// What would be right.
    problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// All that is wrong with a document: at least one fault.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Faults {
    reported: Vec<Fault>,
    /// Faults beyond those.
    unreported: usize,
}

impl Faults {
    /// The one fault of a document that cannot be read at all.
    #[must_use]
    pub fn unreadable(reason: impl fmt::Display) -> Self {
        let fault = Fault { path: ROOT.to_owned(), problem: reason.to_string() };
        Faults { reported: vec![fault], unreported: 0 }
    }

    /// A line for each fault.
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

/// A field of a document, there or not.
#[derive(Clone)]
pub struct Field<'a> {
    value: Option<&'a Value>,
    path: String,
    /// Shared by all fields of the document.
    faults: Rc<RefCell<Vec<Fault>>>,
}

impl<'a> Field<'a> {
    /// The document itself.
    #[must_use]
    pub fn root(document: &'a Value) -> Self {
        Field { value: Some(document), path: String::new(), faults: Rc::default() }
    }

    /// What was read, if no field of the document had a fault.
    ///
    /// # Errors
    ///
    /// All faults that were met so far, by any field of this document.
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

    /// A field within this one.
    #[must_use]
    pub fn get(&self, key: &str) -> Field<'a> {
        let path = if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) };
        Field { value: self.value.and_then(|value| value.get(key)), path, faults: self.faults.clone() }
    }

    /// Whether the field is there, and not null.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.value.is_some_and(|value| !value.is_null())
    }

    fn read<T>(&self, kind: &str, as_kind: impl Fn(&'a Value) -> Option<T>) -> Option<T> {
        let read = self.value.and_then(as_kind);
        if read.is_none() {
            self.report(&format!("{kind} is needed here"));
        }
        read
    }

    /// A text; empty with a fault.
    #[must_use]
    pub fn text(&self) -> &'a str {
        self.read("text", Value::as_str).unwrap_or_default()
    }

    /// A text that is not empty.
    #[must_use]
    pub fn name(&self) -> String {
        let text = self.text();
        if text.is_empty() && self.value.is_some_and(Value::is_string) {
            self.report("a name is needed here");
        }
        text.to_owned()
    }

    /// A whole number that is not negative; 0 with a fault.
    #[must_use]
    pub fn unsigned(&self) -> u64 {
        self.read("a whole number that is not negative", Value::as_u64).unwrap_or_default()
    }

    /// A number; 0 with a fault.
    #[must_use]
    pub fn number(&self) -> f64 {
        self.read("a number", Value::as_f64).unwrap_or_default()
    }

    /// True or false; false with a fault.
    #[must_use]
    pub fn flag(&self) -> bool {
        self.read("true or false", Value::as_bool).unwrap_or_default()
    }

    /// The items of a list; none with a fault.
    #[must_use]
    pub fn items(&self) -> Vec<Field<'a>> {
        let items = self.read("a list", Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let item = |(index, value)| {
            let path = format!("{}[{index}]", self.path);
            Field { value: Some(value), path, faults: self.faults.clone() }
        };
        items.iter().enumerate().map(item).collect()
    }

    /// The keys of a table, in their order; none with a fault.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let table = self.read("a table", Value::as_object);
        table.into_iter().flatten().map(|(key, _)| key.clone()).collect()
    }

    /// Reads a field that may be left out.
    #[must_use]
    pub fn or<T>(&self, default: T, read: impl Fn(&Self) -> T) -> T {
        if self.is_present() { read(self) } else { default }
    }
}
