//! Helpers that read requests and build answers.

use std::io::{self, Read};

use rouille::{Request, Response, ResponseBody};
use serde::Serialize;
use serde::de::DeserializeOwned;
use yuccaridge::platform::http::wire::{ErrorBody, ErrorCode};

/// Response of a handler, or the error to send.
pub type HandlerResult = Result<Response, ErrorBody>;

/// Reads the body of a request.
pub fn read_body(request: &Request) -> Result<Vec<u8>, ErrorBody> {
    let mut bytes = Vec::new();
    let mut data = request
        .data()
        .ok_or_else(|| bad_request("the request body has already been read"))?;
    data.read_to_end(&mut bytes)
        .map_err(|error| bad_request(error.to_string()))?;
    Ok(bytes)
}

/// Reads the body of a request as JSON.
pub fn read_json<B>(request: &Request) -> Result<B, ErrorBody>
where
    B: DeserializeOwned,
{
    serde_json::from_slice(&read_body(request)?).map_err(|error| bad_request(error.to_string()))
}

/// Error for an invalid request.
pub fn bad_request<M>(message: M) -> ErrorBody
where
    M: Into<String>,
{
    error_body(ErrorCode::BadRequest, message)
}

/// Error with this code and message.
pub fn error_body<M>(code: ErrorCode, message: M) -> ErrorBody
where
    M: Into<String>,
{
    ErrorBody {
        code,
        message: message.into(),
    }
}

/// Response with a JSON body.
pub fn json_response<B>(body: &B) -> HandlerResult
where
    B: Serialize,
{
    let bytes = serde_json::to_vec(body).map_err(|error| bad_request(error.to_string()))?;
    Ok(Response::from_data("application/json", bytes))
}

/// Converts an error into a response.
pub fn into_response(result: HandlerResult) -> Response {
    match result {
        Ok(response) => response,
        Err(body) => Response::json(&body).with_status_code(body.code.status()),
    }
}

/// Response whose connection breaks before its body.
pub fn broken_connection() -> Response {
    Response {
        status_code: 200,
        headers: Vec::new(),
        data: ResponseBody::from_reader_and_size(FailingBody, 1),
        upgrade: None,
    }
}

/// Body that fails on reading, upon which the server closes the connection.
#[derive(Debug)]
struct FailingBody;

impl Read for FailingBody {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}
