//! HTTP/1.1 messages read from a socket as they come, so that a test sees what a library would hide: a head or a body
//! that is cut, and bytes after the end.

use std::io::{Error, ErrorKind, Result};

use bytes::Bytes;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// The most bytes of a piece of a body.
const PIECE: usize = 64 * 1024;

/// The first line and the fields of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The request line or the status line.
    pub first: String,
    /// Names as they came, and values without blanks around them.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The first value of a field, its name in any case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// All values of a field.
    pub fn all(&self, name: &str) -> Vec<&str> {
        let own = self.fields.iter().filter(|(own, _)| own.eq_ignore_ascii_case(name));
        own.map(|(_, value)| value.as_str()).collect()
    }

    /// The status of an answer; 0 if the first line holds none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// A word of the first line, counted from 0; empty if there is none.
    pub fn word(&self, number: usize) -> &str {
        self.first.split(' ').nth(number).unwrap_or_default()
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.all("connection").iter().any(|value| value.to_ascii_lowercase().contains("close"))
    }
}

fn cut(what: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, format!("the connection ended in {what}"))
}

fn wrong(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_owned())
}

/// A line without its end; nothing if the connection ends before its first byte.
async fn line(reader: &mut (impl AsyncBufRead + Unpin), what: &str) -> Result<Option<String>> {
    let mut text = Vec::new();
    reader.read_until(b'\n', &mut text).await?;
    if text.is_empty() {
        return Ok(None);
    }
    if text.pop() != Some(b'\n') {
        return Err(cut(what));
    }
    if text.last() == Some(&b'\r') {
        text.pop();
    }
    Ok(Some(String::from_utf8_lossy(&text).into_owned()))
}

/// The next head; nothing if the connection ends in front of it.
pub async fn read_head(reader: &mut (impl AsyncBufRead + Unpin)) -> Result<Option<Head>> {
    let Some(first) = line(reader, "a first line").await? else { return Ok(None) };
    let mut head = Head { first, fields: Vec::new() };
    loop {
        let text = line(reader, "a head").await?.ok_or_else(|| cut("a head"))?;
        if text.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| wrong("a field without a colon"))?;
        head.fields.push((name.to_owned(), value.trim().to_owned()));
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Left {
    Bytes(u64),
    Chunk(u64),
    NextChunk,
    UntilClose,
    Nothing,
}

/// Reads one body, piece by piece.
#[derive(Debug)]
pub struct BodyReader {
    left: Left,
}

impl BodyReader {
    /// The body that follows a request's head.
    pub fn of_request(head: &Head) -> BodyReader {
        BodyReader { left: framed(head).unwrap_or(Left::Nothing) }
    }

    /// The body that follows an answer's head. Answers to HEAD are not read here.
    pub fn of_answer(head: &Head) -> BodyReader {
        if matches!(head.status(), 204 | 304) {
            return BodyReader { left: Left::Nothing };
        }
        BodyReader { left: framed(head).unwrap_or(Left::UntilClose) }
    }

    /// The next bytes; nothing at the end of the body. A connection that ends first is an error.
    pub async fn piece(&mut self, reader: &mut (impl AsyncBufRead + Unpin)) -> Result<Option<Bytes>> {
        if self.left == Left::NextChunk {
            self.left = next_chunk(reader).await?;
        }
        match self.left {
            Left::Nothing | Left::Bytes(0) => Ok(None),
            Left::UntilClose => {
                let bytes = some(reader, PIECE as u64).await?;
                Ok((!bytes.is_empty()).then_some(bytes))
            }
            Left::Bytes(left) => {
                let bytes = some(reader, left).await?;
                self.left = Left::Bytes(left - bytes.len() as u64);
                if bytes.is_empty() { Err(cut("a body")) } else { Ok(Some(bytes)) }
            }
            Left::Chunk(left) => {
                let bytes = some(reader, left).await?;
                self.chunk_read(reader, left - bytes.len() as u64).await?;
                if bytes.is_empty() { Err(cut("a chunk")) } else { Ok(Some(bytes)) }
            }
            Left::NextChunk => Ok(None),
        }
    }

    /// All that is left of the body.
    pub async fn rest(&mut self, reader: &mut (impl AsyncBufRead + Unpin)) -> Result<Vec<u8>> {
        let mut all = Vec::new();
        while let Some(bytes) = self.piece(reader).await? {
            all.extend_from_slice(&bytes);
        }
        Ok(all)
    }

    async fn chunk_read(&mut self, reader: &mut (impl AsyncBufRead + Unpin), left: u64) -> Result<()> {
        self.left = Left::Chunk(left);
        if left == 0 {
            let end = line(reader, "a chunk's end").await?.ok_or_else(|| cut("a chunk's end"))?;
            self.left = Left::NextChunk;
            if !end.is_empty() {
                return Err(wrong("a chunk that is longer than said"));
            }
        }
        Ok(())
    }
}

/// How a head frames its body, if it does.
fn framed(head: &Head) -> Option<Left> {
    if head.field("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        return Some(Left::NextChunk);
    }
    head.field("content-length").and_then(|value| value.parse().ok()).map(Left::Bytes)
}

/// Reads a chunk's size, and the trailer behind the last one.
async fn next_chunk(reader: &mut (impl AsyncBufRead + Unpin)) -> Result<Left> {
    let text = line(reader, "a chunk's size").await?.ok_or_else(|| cut("front of a chunk"))?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    let size = u64::from_str_radix(digits, 16).map_err(|_| wrong("a chunk's size that is none"))?;
    if size > 0 {
        return Ok(Left::Chunk(size));
    }
    while !line(reader, "a trailer").await?.ok_or_else(|| cut("a trailer"))?.is_empty() {}
    Ok(Left::Nothing)
}

/// Up to so many bytes; empty if the connection has ended.
async fn some(reader: &mut (impl AsyncBufRead + Unpin), most: u64) -> Result<Bytes> {
    let mut bytes = vec![0; most.min(PIECE as u64) as usize];
    let count = reader.read(&mut bytes).await?;
    bytes.truncate(count);
    Ok(Bytes::from(bytes))
}
