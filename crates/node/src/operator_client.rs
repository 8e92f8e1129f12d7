//! The operators' client: reads and sends a configuration, and shows what a process knows.

#[cfg(test)]
mod tests;

use std::fmt;
use std::io;
use std::time::Duration;

use axum::http::{self, Method, Request, StatusCode, header};
use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::{Map, Value};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::timeout;

use crate::config::Config;
use crate::document::Faults;

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// What is shown where no part is named.
const ALL_PARTS: &str = "all";

/// Why one address gave no answer that counts.
#[derive(Debug, Display, Error, From)]
pub enum CallFailure {
    /// No connection came up.
    Connect(io::Error),
    /// The request could not be formed.
    Request(http::Error),
    /// The connection broke, or its bytes were no HTTP.
    Http(hyper::Error),
    /// No answer in time.
    #[display("no answer within {CALL_TIMEOUT:?}")]
    TimedOut,
    /// The process says that it cannot answer now.
    #[from(skip)]
    Status(#[error(not(source))] StatusCode),
}

/// An address, and why it gave no answer that counts.
#[derive(Debug, Display, Error)]
#[display("{address}: {failure}")]
pub struct FailedCall {
    address: String,
    #[error(source)]
    failure: CallFailure,
}

/// Why an operator's call has no result.
#[derive(Debug, Error, From)]
pub enum ClientError {
    /// The runtime of the client cannot be started. Nothing was called.
    Runtime(io::Error),
    /// No address answered. What was called for may have taken effect.
    #[from(skip)]
    NoAnswer(#[error(not(source))] Vec<FailedCall>),
    /// The configuration is none that could be used. Nothing was called.
    Invalid(Faults),
    /// The process has rejected the call. Nothing has changed.
    #[from(skip)]
    Rejected(#[error(not(source))] Vec<String>),
    /// The process has no state to show.
    #[from(skip)]
    NoState(#[error(not(source))] StatusCode),
    /// The answer is no JSON.
    UnreadableAnswer(serde_json::Error),
    /// The state has no such part.
    #[from(skip)]
    UnknownPart {
        /// The part that was named.
        part: String,
        /// The parts that there are.
        known: Vec<String>,
    },
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::Runtime(reason) => reason.fmt(f),
            ClientError::NoAnswer(calls) => {
                let calls: Vec<String> = calls.iter().map(FailedCall::to_string).collect();
                f.write_str(&calls.join("; "))
            }
            ClientError::Invalid(faults) => f.write_str(&faults.lines().join("\n")),
            ClientError::Rejected(faults) => f.write_str(&faults.join("\n")),
            ClientError::NoState(status) => status.fmt(f),
            ClientError::UnreadableAnswer(reason) => reason.fmt(f),
            ClientError::UnknownPart { part, known } => write!(f, "{part} is none of all {known:?}"),
        }
    }
}

/// How the state is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// As tables, for people.
    Tables,
    /// As JSON, for programs.
    Json,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    fn faults(&self) -> Vec<String> {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let faults = value["faults"].as_array().map(Vec::as_slice).unwrap_or_default();
        faults.iter().filter_map(Value::as_str).map(str::to_owned).collect()
    }
}

/// The configuration that is chosen.
///
/// # Errors
///
/// Where no address answers, or there is none yet.
pub fn get(addresses: &[String]) -> Result<String, ClientError> {
    let answer = call_first_responding(addresses, &Method::GET, "/api/configuration", &Bytes::new())?;
    if !answer.status.is_success() {
        return Err(ClientError::Rejected(answer.faults()));
    }
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

/// Sends a configuration, checked here first.
///
/// # Errors
///
/// Where it is invalid or rejected, or no address answers; then it may be in force all the same.
pub fn put(addresses: &[String], text: Vec<u8>) -> Result<String, ClientError> {
    let config = Config::parse(&text)?;
    let answer = call_first_responding(addresses, &Method::PUT, "/api/configuration", &text.into())?;
    if !answer.status.is_success() {
        return Err(ClientError::Rejected(answer.faults()));
    }
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let in_force = value["version"].as_u64().unwrap_or_default();
    Ok(if in_force == config.version {
        format!("version {in_force} is held by a majority of the disks")
    } else {
        format!("version {in_force} is held, which is above {}: nothing changed", config.version)
    })
}

/// What a process knows: all of it, or the part that is named.
///
/// # Errors
///
/// Where no address answers, or there is no such part.
pub fn show(addresses: &[String], part: &str, format: Format) -> Result<String, ClientError> {
    let answer = call_first_responding(addresses, &Method::GET, "/api/state", &Bytes::new())?;
    if !answer.status.is_success() {
        return Err(ClientError::NoState(answer.status));
    }
    let state: Value = serde_json::from_slice(&answer.body)?;
    let shown = if part == ALL_PARTS { &state } else { &state[part] };
    if shown.is_null() {
        let known = state.as_object().into_iter().flatten().map(|(name, _)| name.clone()).collect();
        return Err(ClientError::UnknownPart { part: part.to_owned(), known });
    }
    Ok(match (format, shown) {
        (Format::Json, _) => shown.to_string(),
        (Format::Tables, Value::Object(parts)) if part == ALL_PARTS => format_sections(parts),
        (Format::Tables, _) => format_section(shown),
    })
}

/// Calls each address in turn until one answers for good.
fn call_first_responding(
    addresses: &[String], method: &Method, path: &str, body: &Bytes,
) -> Result<Answer, ClientError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut failed = Vec::new();
    for address in addresses {
        match call_with_timeout(&runtime, address, method, path, body) {
            Ok(answer) => return Ok(answer),
            Err(failure) => failed.push(FailedCall { address: address.clone(), failure }),
        }
    }
    Err(ClientError::NoAnswer(failed))
}

fn call_with_timeout(
    runtime: &Runtime, address: &str, method: &Method, path: &str, body: &Bytes,
) -> Result<Answer, CallFailure> {
    let answer = runtime.block_on(async {
        let call = call(address, method.clone(), path, body.clone());
        timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(CallFailure::TimedOut))
    })?;
    if answer.status.is_server_error() { Err(CallFailure::Status(answer.status)) } else { Ok(answer) }
}

async fn call(address: &str, method: Method, path: &str, body: Bytes) -> Result<Answer, CallFailure> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    // It ends with the runtime.
    tokio::spawn(connection);
    let request =
        Request::builder().method(method).uri(path).header(header::HOST, address).body(Full::new(body))?;
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    Ok(Answer { status, body })
}

fn format_sections(parts: &Map<String, Value>) -> String {
    parts.iter().map(|(name, part)| format!("== {name}\n{}", format_section(part))).collect()
}

fn format_section(part: &Value) -> String {
    match part {
        Value::Array(rows) => format_table(rows),
        Value::Object(pairs) => {
            pairs.iter().map(|(key, value)| format!("{key}  {}\n", format_cell(value))).collect()
        }
        other => format_cell(other) + "\n",
    }
}

/// A table of objects that are alike, its columns as wide as needed.
fn format_table(rows: &[Value]) -> String {
    let Some(first) = rows.first().and_then(Value::as_object) else { return "none\n".to_owned() };
    let columns: Vec<&String> = first.keys().collect();
    let heading: Vec<String> = columns.iter().map(|column| (*column).clone()).collect();
    let cells = |row: &Value| columns.iter().map(|column| format_cell(&row[column.as_str()])).collect();
    let mut lines: Vec<Vec<String>> = vec![heading];
    lines.extend(rows.iter().map(cells));
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let padded = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text += padded.collect::<Vec<_>>().join("  ").trim_end();
        text.push('\n');
    }
    text
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}
