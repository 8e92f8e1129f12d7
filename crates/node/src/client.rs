//! The operators' client: reads and sends a configuration, and shows what a process knows.

use std::time::Duration;

use axum::http::{Method, Request, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::config::Config;
use crate::verdict::StartError;

/// Time for one call.
const CALL: Duration = Duration::from_secs(5);

fn usage(why: impl Into<String>) -> StartError {
    StartError::Usage { why: why.into() }
}

async fn call(at: &str, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes), String> {
    let stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header(header::HOST, at).body(Full::new(body));
    let answer = sender.send_request(request.map_err(|e| e.to_string())?).await.map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = answer.into_body().collect().await.map_err(|e| e.to_string())?;
    Ok((status, body.to_bytes()))
}

/// Calls each address in turn until one answers for good.
fn ask(at: &[String], method: &Method, path: &str, body: &Bytes) -> Result<(StatusCode, Bytes), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| StartError::Runtime { why })?;
    let mut told = Vec::new();
    for address in at {
        let called = async { timeout(CALL, call(address, method.clone(), path, body.clone())).await };
        match runtime.block_on(called) {
            Ok(Ok((status, body))) if !status.is_server_error() => return Ok((status, body)),
            Ok(Ok((status, _))) => told.push(format!("{address}: {status}")),
            Ok(Err(e)) => told.push(format!("{address}: {e}")),
            Err(_) => told.push(format!("{address}: no answer within {CALL:?}")),
        }
    }
    Err(usage(told.join("; ")))
}

fn faults(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let faults = value["faults"].as_array().map(Vec::as_slice).unwrap_or_default();
    faults.iter().filter_map(Value::as_str).collect::<Vec<_>>().join("\n")
}

/// The configuration that a majority of the disks holds.
pub fn get(at: &[String]) -> Result<String, StartError> {
    let (status, body) = ask(at, &Method::GET, "/api/configuration", &Bytes::new())?;
    if !status.is_success() {
        return Err(usage(faults(&body)));
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends a configuration, checked here first.
pub fn put(at: &[String], text: Vec<u8>) -> Result<String, StartError> {
    let config = Config::parse(&text).map_err(|faults| usage(faults.join("\n")))?;
    let (status, body) = ask(at, &Method::PUT, "/api/configuration", &text.into())?;
    if !status.is_success() {
        return Err(usage(faults(&body)));
    }
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let held = value["version"].as_u64().unwrap_or_default();
    Ok(if held == config.version {
        format!("version {held} is held by a majority of the disks")
    } else {
        format!("version {held} is held, which is above {}: nothing changed", config.version)
    })
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// A table of objects that are alike, its columns as wide as needed.
fn table(rows: &[Value]) -> String {
    let Some(first) = rows.first().and_then(Value::as_object) else { return "none\n".to_owned() };
    let heads: Vec<&String> = first.keys().collect();
    let mut lines = vec![heads.iter().map(|h| (*h).clone()).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|row| heads.iter().map(|h| cell(&row[h.as_str()])).collect()));
    let width = |n: usize| lines.iter().map(|line| line[n].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let padded: Vec<String> = line.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        text += padded.join("  ").trim_end();
        text.push('\n');
    }
    text
}

/// What a process knows: all of it as JSON, or one part as a table.
pub fn show(at: &[String], what: &str, json: bool) -> Result<String, StartError> {
    let (status, body) = ask(at, &Method::GET, "/api/state", &Bytes::new())?;
    if !status.is_success() {
        return Err(usage(format!("{status}")));
    }
    let state: Value = serde_json::from_slice(&body).map_err(|e| usage(e.to_string()))?;
    let part = if what == "all" { &state } else { &state[what] };
    if part.is_null() {
        let parts: Vec<&String> = state.as_object().into_iter().flatten().map(|(name, _)| name).collect();
        return Err(usage(format!("{what} is none of all {parts:?}")));
    }
    if json {
        return Ok(part.to_string());
    }
    let text = |part: &Value| match part {
        Value::Array(rows) => table(rows),
        Value::Object(pairs) => pairs.iter().map(|(k, v)| format!("{k}  {}\n", cell(v))).collect(),
        other => cell(other) + "\n",
    };
    Ok(match (what, part) {
        ("all", Value::Object(parts)) => {
            parts.iter().map(|(name, part)| format!("== {name}\n{}", text(part))).collect()
        }
        _ => text(part),
    })
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn tables_are_as_wide_as_their_words() {
        let rows = [json!({"a": "x", "b": 12}), json!({"a": "long", "b": null})];
        assert_eq!(table(&rows), "a     b\nx     12\nlong  -\n");
        assert_eq!(table(&[]), "none\n");
    }
}
