//! Runs a script under resource limits and records the directives that it calls, in order and with their
//! lines.

#![allow(
    unsafe_code,
    reason = "the derive of `ProvidesStaticType` implements an unsafe trait; no other unsafe code is allowed"
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

/// Maximum size of a script: a few thousand lines.
const MAX_SCRIPT_BYTES: usize = 64 * 1024;
/// Maximum number of function calls and loop iterations: far more than settings need, and done within a few
/// milliseconds.
const MAX_STEP_COUNT: u64 = 200_000;
/// Maximum depth of nested function calls.
const MAX_CALL_DEPTH: usize = 64;
/// Maximum depth of nested brackets: the parser recurses once per level and could overflow the stack.
const MAX_BRACKET_DEPTH: usize = 64;
/// Maximum size of the values of a script. It is checked only at intervals, so an untrusted script must run in
/// a process of its own.
const MAX_HEAP_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of directive calls in a script: more than there are directives and purposes.
const MAX_DIRECTIVE_COUNT: usize = 1000;

/// Call of a directive by a script.
#[derive(Clone, Debug)]
pub(crate) struct Directive {
    /// Name of the directive.
    pub name: &'static str,
    /// First and last line of the call, from 1.
    pub lines: (usize, usize),
    /// Arguments without a name, in order.
    pub positional: Vec<Json>,
    /// Arguments with a name.
    pub named: Vec<(String, Json)>,
}

#[derive(Debug, Default, ProvidesStaticType)]
struct DirectiveRecorder(RefCell<Vec<Directive>>);

fn record_directive<'v>(
    eval: &mut Evaluator<'v, '_, '_>, name: &'static str, args: UnpackTuple<Value<'v>>,
    named: SmallMap<String, Value<'v>>,
) -> anyhow::Result<NoneType> {
    let span = eval.call_stack_top_location().map(|at| at.resolve_span());
    let lines = span.map_or((0, 0), |at| (at.begin.line + 1, at.end.line + 1));
    // A value without a JSON form, such as a function, is recorded as a string that no key accepts.
    let json = |value: Value<'_>| value.to_json_value().unwrap_or_else(|_| Json::String(value.to_repr()));
    let positional = args.items.iter().map(|v| json(*v)).collect();
    let named = named.into_iter().map(|(key, value)| (key, json(value))).collect();
    let recorder = eval.extra.and_then(|extra| extra.downcast_ref::<DirectiveRecorder>());
    let Some(recorder) = recorder else { return Err(anyhow::anyhow!("evaluator has no directive recorder")) };
    let mut recorder = recorder.0.borrow_mut();
    if recorder.len() >= MAX_DIRECTIVE_COUNT {
        return Err(anyhow::anyhow!("more than {MAX_DIRECTIVE_COUNT} directives"));
    }
    recorder.push(Directive { name, lines, positional, named });
    Ok(NoneType)
}

#[starlark_module]
fn directives(builder: &mut GlobalsBuilder) {
    fn admin<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_directive(eval, "admin", args, named)
    }

    fn log<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_directive(eval, "log", args, named)
    }

    fn memory<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_directive(eval, "memory", args, named)
    }

    fn cap<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_directive(eval, "cap", args, named)
    }

    fn fleet<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>, eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record_directive(eval, "fleet", args, named)
    }
}

/// Returns the deepest nesting of brackets and its line. Brackets in strings and comments count as well; a
/// script that nests them so deeply may be rejected without harm.
fn deepest_nesting(text: &str) -> (usize, usize) {
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

/// Evaluates a script and returns the directives that it called.
pub(crate) fn run(file: &str, text: &str, memory: u64) -> Result<Vec<Directive>, Fault> {
    let fault = |line, words: String| Fault { file: file.to_owned(), line, key: String::new(), words };
    if text.len() > MAX_SCRIPT_BYTES {
        return Err(fault(
            0,
            format!("script is {} bytes long; the limit is {MAX_SCRIPT_BYTES} bytes", text.len()),
        ));
    }
    let (deepest, line) = deepest_nesting(text);
    if deepest > MAX_BRACKET_DEPTH {
        return Err(fault(
            line,
            format!("{deepest} brackets within each other; the limit is {MAX_BRACKET_DEPTH}"),
        ));
    }
    let to_fault = |e: starlark::Error| {
        let line = e.span().map_or(0, |span| span.resolve_span().begin.line + 1);
        let words = e.without_diagnostic().to_string();
        fault(line, words.lines().next().unwrap_or("evaluation failed without a message").to_owned())
    };
    let dialect = Dialect { enable_load: false, enable_top_level_stmt: true, ..Dialect::Extended };
    let ast = AstModule::parse(file, text.to_owned(), &dialect).map_err(to_fault)?;
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::Filter, LibraryExtension::Map]);
    let mut globals = globals.with(directives);
    globals.set("KB", 1024);
    globals.set("MB", 1024 * 1024);
    globals.set("MEMORY", memory);
    let globals = globals.build();
    let recorder = DirectiveRecorder::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.set_max_callstack_size(MAX_CALL_DEPTH)?;
        eval.set_max_tick_count(MAX_STEP_COUNT)?;
        eval.set_max_heap_size(MAX_HEAP_BYTES)?;
        eval.extra = Some(&recorder);
        eval.eval_module(ast, &globals)?;
        starlark::Result::Ok(())
    })
    .map_err(to_fault)?;
    Ok(recorder.0.into_inner())
}
