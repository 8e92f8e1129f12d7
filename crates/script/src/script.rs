//! Runs a script within bounds and notes what it says, in order, with lines.

#![allow(
    unsafe_code,
    reason = "`ProvidesStaticType` derives an implementation of an unsafe trait; nothing else may"
)]

use std::cell::RefCell;

use ashvane_config::Fault;
use serde_json::Value as Json;
use starlark::any::ProvidesStaticType;
use starlark::collections::SmallMap;
use starlark::environment::{GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;
use starlark::values::tuple::UnpackTuple;

/// The longest script: some thousand lines.
const TEXT_MOST: usize = 64 * 1024;
/// Function calls and turns of loops: far more than settings need, and done within a few milliseconds.
const STEPS_MOST: u64 = 200_000;
/// Calls within calls.
const DEPTH_MOST: usize = 64;
/// Brackets within brackets: what reads them goes as deep on the stack.
const NESTING_MOST: usize = 64;
/// What the script's values may take, in bytes. Checked now and then: whoever runs a script that may not be
/// trusted does so in a process of its own.
const HEAP_MOST: usize = 4 * 1024 * 1024;
/// The most that a script may say: more than there are directives and purposes.
const SAID_MOST: usize = 1000;

/// One directive that a script has called.
#[derive(Clone, Debug)]
pub(crate) struct Said {
    pub name: &'static str,
    /// The lines of the call, counted from 1.
    pub lines: (usize, usize),
    /// Arguments without a name, by their number, and those with one.
    pub unnamed: Vec<Json>,
    pub named: Vec<(String, Json)>,
}

#[derive(Debug, Default, ProvidesStaticType)]
struct Notes(RefCell<Vec<Said>>);

fn note<'v>(
    eval: &mut Evaluator<'v, '_, '_>, name: &'static str, args: UnpackTuple<Value<'v>>,
    named: SmallMap<String, Value<'v>>,
) -> anyhow::Result<NoneType> {
    let span = eval.call_stack_top_location().map(|at| at.resolve_span());
    let lines = span.map_or((0, 0), |at| (at.begin.line + 1, at.end.line + 1));
    // What has no form in JSON, as a function, is noted as words that no key takes.
    let json = |value: Value<'_>| value.to_json_value().unwrap_or_else(|_| Json::String(value.to_repr()));
    let unnamed = args.items.iter().map(|v| json(*v)).collect();
    let named = named.into_iter().map(|(key, value)| (key, json(value))).collect();
    let notes = eval.extra.and_then(|extra| extra.downcast_ref::<Notes>());
    let Some(notes) = notes else { return Err(anyhow::anyhow!("nobody takes notes")) };
    let mut notes = notes.0.borrow_mut();
    if notes.len() >= SAID_MOST {
        return Err(anyhow::anyhow!("more than {SAID_MOST} settings"));
    }
    notes.push(Said { name, lines, unnamed, named });
    Ok(NoneType)
}

#[starlark_module]
fn directives(builder: &mut GlobalsBuilder) {
    fn admin<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "admin", args, named)
    }

    fn log<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "log", args, named)
    }

    fn memory<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "memory", args, named)
    }

    fn cap<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "cap", args, named)
    }

    fn fleet<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note(eval, "fleet", args, named)
    }
}

/// The deepest nesting of brackets, and the line it is on. Strings and comments count too: too deep there is
/// no loss.
fn nesting(text: &str) -> (usize, usize) {
    let (mut depth, mut line, mut deepest) = (0usize, 1, (0, 0));
    for byte in text.bytes() {
        match byte {
            b'(' | b'[' | b'{' => depth += 1,
            b')' | b']' | b'}' => depth = depth.saturating_sub(1),
            b'\n' => line += 1,
            _ => {}
        }
        if depth > deepest.0 {
            deepest = (depth, line);
        }
    }
    deepest
}

pub(crate) fn run(file: &str, text: &str, memory: u64) -> Result<Vec<Said>, Fault> {
    let fault = |line, words: String| Fault { file: file.to_owned(), line, key: String::new(), words };
    if text.len() > TEXT_MOST {
        return Err(fault(0, format!("{} bytes long; at most {TEXT_MOST} are read", text.len())));
    }
    let (deepest, line) = nesting(text);
    if deepest > NESTING_MOST {
        return Err(fault(line, format!("{deepest} brackets within each other; at most {NESTING_MOST}")));
    }
    let wrong = |e: starlark::Error| {
        let line = e.span().map_or(0, |span| span.resolve_span().begin.line + 1);
        let words = e.without_diagnostic().to_string();
        fault(line, words.lines().next().unwrap_or("wrong").to_owned())
    };
    let dialect = Dialect { enable_load: false, enable_top_level_stmt: true, ..Dialect::Extended };
    let ast = AstModule::parse(file, text.to_owned(), &dialect).map_err(wrong)?;
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::Filter, LibraryExtension::Map]);
    let mut globals = globals.with(directives);
    globals.set("KB", 1024);
    globals.set("MB", 1024 * 1024);
    globals.set("MEMORY", memory);
    let globals = globals.build();
    let notes = Notes::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.set_max_callstack_size(DEPTH_MOST)?;
        eval.set_max_tick_count(STEPS_MOST)?;
        eval.set_max_heap_size(HEAP_MOST)?;
        eval.extra = Some(&notes);
        eval.eval_module(ast, &globals)?;
        starlark::Result::Ok(())
    })
    .map_err(wrong)?;
    Ok(notes.0.into_inner())
}
