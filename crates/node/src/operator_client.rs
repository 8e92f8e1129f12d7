//! Client for operators: reads and writes the configuration, and shows the status report of a process.

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

/// Time limit for a call to one address.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Name under which the whole status report is shown.
const ALL_PARTS: &str = "all";

/// Reason why a call to one address failed.
#[derive(Debug, Display, Error, From)]
pub enum CallFailure {
    /// The connection cannot be established.
    Connect(io::Error),
    /// The request cannot be constructed.
    Request(http::Error),
    /// The connection was lost, or the response is not valid HTTP.
    Http(hyper::Error),
    /// No response arrived in time.
    #[display("no answer within {CALL_TIMEOUT:?}")]
    TimedOut,
    /// The process responded with a server error.
    #[from(skip)]
    Status(#[error(not(source))] StatusCode),
}

/// Failed call to one address.
#[derive(Debug, Display, Error)]
#[display("{address}: {failure}")]
pub struct FailedCall {
    address: String,
    #[error(source)]
    failure: CallFailure,
}

/// Reason why a command of an operator failed.
#[derive(Debug, Error, From)]
pub enum ClientError {
    /// The runtime of the client cannot be started. No call was made.
    Runtime(io::Error),
    /// The calls to all addresses failed. The requested operation may still have taken effect.
    #[from(skip)]
    NoAnswer(#[error(not(source))] Vec<FailedCall>),
    /// The configuration is not valid. No call was made.
    Invalid(Faults),
    /// The process rejected the call. Nothing has changed.
    #[from(skip)]
    Rejected(#[error(not(source))] Vec<String>),
    /// The process responded to the request for its status report with an error.
    #[from(skip)]
    NoState(#[error(not(source))] StatusCode),
    /// The response is not JSON.
    UnreadableAnswer(serde_json::Error),
    /// The status report has no part of this name.
    #[from(skip)]
    UnknownPart {
        /// Requested part.
        part: String,
        /// Parts of the status report.
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

/// Output format of the status report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables, for people.
    Tables,
    /// JSON, for programs.
    Json,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    /// Returns the faults listed in the body.
    fn faults(&self) -> Vec<String> {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let faults = value["faults"].as_array().map(Vec::as_slice).unwrap_or_default();
        faults.iter().filter_map(Value::as_str).map(str::to_owned).collect()
    }
}

/// Returns the chosen configuration.
///
/// # Errors
///
/// If the calls to all addresses fail, or no configuration has been chosen yet.
pub fn get(addresses: &[String]) -> Result<String, ClientError> {
    let answer = call_first_responding(addresses, &Method::GET, "/api/configuration", &Bytes::new())?;
    if !answer.status.is_success() {
        return Err(ClientError::Rejected(answer.faults()));
    }
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

/// Validates a configuration, sends it, and returns a message with the result.
///
/// # Errors
///
/// If the configuration is not valid or is rejected, or if the calls to all addresses fail. In the last
/// case it may still be in force.
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

/// Returns the status report of a process, or one part of it.
///
/// # Errors
///
/// If the calls to all addresses fail, or there is no part of this name.
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

/// Calls the addresses in order until one responds without a server error.
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

/// Calls one address. A time-out or a server error is a failure.
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
    // The connection task ends with the runtime.
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

/// Formats objects as a table. The columns are the keys of the first object, each as wide as its longest
/// cell.
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
