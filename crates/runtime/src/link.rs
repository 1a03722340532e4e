//! Connections between the fleet's programs that carry framed messages.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use dunelink_protocol::{FrameError, decode, encode};
use minicbor::{Decode, Encode};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Bytes asked of the kernel at once.
const READ_BYTES: usize = 16 * 1024;
/// A read buffer that grew beyond this is given back once it is empty.
const KEPT_BYTES: usize = 64 * 1024;

/// Why a connection ended.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The system refused the call or the peer went away.
    #[error("connection lost: {0}; it is opened anew")]
    Io(#[from] io::Error),
    /// The peer sent what is no message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer closed the connection.
    #[error("the peer closed the connection; it is opened anew")]
    Closed,
    /// Nothing was heard for too long.
    #[error("nothing heard for {0:?}: the peer or the path to it is down; another one is tried")]
    Timeout(Duration),
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct LinkReader {
    socket: OwnedReadHalf,
    buffer: BytesMut,
}

impl LinkReader {
    /// The next message. Cancelling the call loses nothing.
    ///
    /// # Errors
    ///
    /// The connection has ended or carried something else; it is of no use afterwards.
    pub async fn read<M: for<'b> Decode<'b, ()>>(&mut self) -> Result<M, LinkError> {
        loop {
            if let Some(message) = decode(&mut self.buffer)? {
                self.shrink();
                return Ok(message);
            }
            self.buffer.reserve(READ_BYTES);
            if self.socket.read_buf(&mut self.buffer).await? == 0 {
                return Err(LinkError::Closed);
            }
        }
    }

    /// The next message within `patience`.
    ///
    /// # Errors
    ///
    /// As [`Self::read`], or nothing came in time.
    pub async fn read_with_timeout<M: for<'b> Decode<'b, ()>>(
        &mut self,
        patience: Duration,
    ) -> Result<M, LinkError> {
        match tokio::time::timeout(patience, self.read()).await {
            Ok(read) => read,
            Err(_) => Err(LinkError::Timeout(patience)),
        }
    }

    fn shrink(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BYTES {
            self.buffer = BytesMut::new();
        }
    }
}

/// The sending half of a connection.
#[derive(Debug)]
pub struct LinkWriter {
    socket: OwnedWriteHalf,
    buffer: BytesMut,
}

impl LinkWriter {
    /// Sends a message and waits until the kernel has taken it.
    ///
    /// # Errors
    ///
    /// The connection is broken. A cancelled call leaves it unusable.
    pub async fn write<M: Encode<()>>(&mut self, message: &M) -> Result<(), LinkError> {
        self.queue(message);
        self.flush().await
    }

    /// Adds a message to what the next [`Self::flush`] sends.
    pub fn queue<M: Encode<()>>(&mut self, message: &M) {
        encode(message, &mut self.buffer);
    }

    /// Sends what was queued.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        self.socket.write_all(&self.buffer).await?;
        self.buffer.clear();
        if self.buffer.capacity() > KEPT_BYTES {
            self.buffer = BytesMut::new();
        }
        Ok(())
    }
}

/// Opens a connection within `patience`; the kernel gives it up when data stays unacknowledged for `silence`.
///
/// # Errors
///
/// The peer refused, or could not be reached in time.
pub async fn dial(
    address: SocketAddr,
    patience: Duration,
    silence: Duration,
) -> Result<(LinkReader, LinkWriter), LinkError> {
    match tokio::time::timeout(patience, TcpStream::connect(address)).await {
        Ok(connected) => accept(connected?, silence),
        Err(_) => Err(LinkError::Timeout(patience)),
    }
}

/// Makes a link of an accepted connection; the kernel gives it up when data stays unacknowledged for `silence`.
///
/// # Errors
///
/// The socket's options can't be set.
pub fn accept(socket: TcpStream, silence: Duration) -> Result<(LinkReader, LinkWriter), LinkError> {
    socket.set_nodelay(true)?;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(silence))?;
    let (reader, writer) = socket.into_split();
    let reader = LinkReader { socket: reader, buffer: BytesMut::new() };
    let writer = LinkWriter { socket: writer, buffer: BytesMut::new() };
    Ok((reader, writer))
}
