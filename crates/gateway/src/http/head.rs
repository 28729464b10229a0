//! Heads of requests and responses.

use bytes::Bytes;

use super::Error;

/// Headers that one head may have; a request with more is refused as too long, a response with more
/// is malformed.
const MAX_HEADERS: usize = 100;

/// One header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in the spelling of the sender.
    pub name: Box<str>,
    /// Value as sent; need not be UTF-8.
    pub value: Bytes,
}

/// Headers in the order in which they were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// First value of the header `name`; none if the header is absent or the value is not UTF-8.
    pub fn find(&self, name: &str) -> Option<&str> {
        let header = self.0.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok().map(str::trim)
    }

    /// Whether the comma-separated values of the header `name` contain `element`, ignoring case.
    pub fn list_contains(&self, name: &str, element: &str) -> bool {
        let named = self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        named
            .filter_map(|header| std::str::from_utf8(&header.value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(element))
    }

    /// All headers called `name`.
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Header> {
        self.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
    }
}

/// Whether a header is hop-by-hop or describes the framing, so that a proxy must not forward it.
pub fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.iter().any(|listed| name.eq_ignore_ascii_case(listed))
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// A body of this many bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends where the sender closes the connection.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Box<str>,
    /// Request target (path and query) exactly as sent.
    pub target: Box<str>,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the sender allows the connection to stay open after the response.
    pub keep_alive: bool,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
}

fn copy_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let copy = |header: &httparse::Header<'_>| Header {
        name: header.name.into(),
        value: Bytes::copy_from_slice(header.value),
    };
    Headers(parsed.iter().map(copy).collect())
}

/// Head of the request at the start of `buffer`, and its length in bytes; none if it is incomplete.
pub(super) fn parse_request_head(buffer: &[u8]) -> Result<Option<(RequestHead, usize)>, Error> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut header_storage);
    let length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong),
        Err(_) => return Err(Error::Malformed("the head of the request can't be parsed")),
    };
    let headers = copy_headers(request.headers);
    let http_1_0 = request.version == Some(0);
    let keep_alive = match http_1_0 {
        true => headers.list_contains("connection", "keep-alive"),
        false => !headers.list_contains("connection", "close"),
    };
    let framing = parse_framing(&headers)?.unwrap_or(Framing::Length(0));
    let head = RequestHead {
        method: request.method.unwrap_or_default().into(),
        target: request.path.unwrap_or_default().into(),
        headers,
        framing,
        keep_alive,
    };
    Ok(Some((head, length)))
}

/// Head of the response at the start of `buffer`, and its length in bytes; none if it is
/// incomplete. `method` is that of the request: the response to `HEAD` has no body, whatever its
/// headers state.
pub(super) fn parse_response_head(
    buffer: &[u8],
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, Error> {
    let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut header_storage);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Error::Malformed("the head of the response can't be parsed")),
    };
    let headers = copy_headers(response.headers);
    let status = response.code.unwrap_or_default();
    let has_no_body = status < 200 || status == 204 || status == 304 || method == "HEAD";
    let framing = match parse_framing(&headers)? {
        _ if has_no_body => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let http_1_0 = response.version == Some(0);
    let close =
        http_1_0 || headers.list_contains("connection", "close") || framing == Framing::UntilClose;
    Ok(Some((ResponseHead { status, headers, framing, keep_alive: !close }, length)))
}

/// Framing that the headers state; none if there is neither `Content-Length` nor
/// `Transfer-Encoding`.
fn parse_framing(headers: &Headers) -> Result<Option<Framing>, Error> {
    let mut lengths = headers.all("content-length");
    let first = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::Malformed("more than one Content-Length"));
    }
    let mut encodings = headers.all("transfer-encoding");
    let encoding = encodings.next();
    if encodings.next().is_some() {
        return Err(Error::Malformed("more than one Transfer-Encoding"));
    }
    match (first, encoding) {
        (Some(_), Some(_)) => Err(Error::Malformed("both Content-Length and Transfer-Encoding")),
        (None, Some(encoding)) => {
            if !encoding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(Error::Malformed("a Transfer-Encoding other than chunked"));
            }
            Ok(Some(Framing::Chunked))
        }
        (Some(length), None) => {
            let text = std::str::from_utf8(&length.value).unwrap_or_default().trim();
            let digits_only = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| digits_only);
            let length = length.ok_or(Error::Malformed("a Content-Length that is not a number"))?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// Appends a header line.
pub(crate) fn push_header(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
