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

/// Buffer space reserved for each read from the socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Largest first message of an accepted connection, in bytes, with its length prefix. It names the peer, which
/// is not known before.
const MAX_FIRST_MESSAGE_BYTES: usize = 8 * 1024;
/// An empty buffer with a larger capacity than this is freed.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;

/// Reason why a connection ended.
#[derive(Debug, Error)]
pub enum LinkError {
    /// A system call failed, or the connection was reset.
    #[error("connection lost: {0}; it will be reopened")]
    Io(#[from] io::Error),
    /// The peer sent an invalid frame or message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The first message of an accepted connection is too large to be a hello.
    #[error("the first message is over {MAX_FIRST_MESSAGE_BYTES} bytes: check which program connects here")]
    FirstMessageTooLarge,
    /// The peer closed the connection.
    #[error("the peer closed the connection; it will be reopened")]
    Closed,
    /// The peer did not respond within this time.
    #[error("no response within {0:?}: the peer or the network path to it is down; another attempt follows")]
    Timeout(Duration),
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct LinkReader {
    socket: OwnedReadHalf,
    buffer: BytesMut,
    /// Whether the next message is the first one of an accepted connection.
    expects_first_message: bool,
}

impl LinkReader {
    /// Reads the next message. The call is cancellation-safe: no data is lost.
    ///
    /// # Errors
    ///
    /// The connection ended or the data is invalid; the connection can't be used afterwards.
    pub async fn read<M: for<'b> Decode<'b, ()>>(&mut self) -> Result<M, LinkError> {
        loop {
            if let Some(message) = decode(&mut self.buffer)? {
                self.expects_first_message = false;
                self.release_idle_buffer();
                return Ok(message);
            }
            if self.expects_first_message && self.buffer.len() > MAX_FIRST_MESSAGE_BYTES {
                return Err(LinkError::FirstMessageTooLarge);
            }
            self.buffer.reserve(READ_CHUNK_BYTES);
            if self.socket.read_buf(&mut self.buffer).await? == 0 {
                return Err(LinkError::Closed);
            }
        }
    }

    /// Reads the next message within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`Self::read`], or no message arrived in time.
    pub async fn read_with_timeout<M: for<'b> Decode<'b, ()>>(
        &mut self,
        timeout: Duration,
    ) -> Result<M, LinkError> {
        match tokio::time::timeout(timeout, self.read()).await {
            Ok(read) => read,
            Err(_) => Err(LinkError::Timeout(timeout)),
        }
    }

    fn release_idle_buffer(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
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
    /// Sends a message and waits until the kernel has accepted it.
    ///
    /// # Errors
    ///
    /// The connection is broken. A cancelled call also leaves it unusable.
    pub async fn write<M: Encode<()>>(&mut self, message: &M) -> Result<(), LinkError> {
        self.queue(message);
        self.flush().await
    }

    /// Buffers a message, which the next [`Self::flush`] sends.
    pub fn queue<M: Encode<()>>(&mut self, message: &M) {
        encode(message, &mut self.buffer);
    }

    /// Sends the buffered messages.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        self.socket.write_all(&self.buffer).await?;
        self.buffer.clear();
        if self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        Ok(())
    }
}

/// Opens a connection within `timeout`. The kernel closes it when sent data stays unacknowledged for
/// `user_timeout`.
///
/// # Errors
///
/// The peer refused the connection, or could not be reached in time.
pub async fn dial(
    address: SocketAddr,
    timeout: Duration,
    user_timeout: Duration,
) -> Result<(LinkReader, LinkWriter), LinkError> {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(connected) => set_up(connected?, user_timeout, false),
        Err(_) => Err(LinkError::Timeout(timeout)),
    }
}

/// Sets up an accepted socket for framed messages; the first one may have 8 KiB at most. The kernel closes the
/// connection when sent data stays unacknowledged for `user_timeout`.
///
/// # Errors
///
/// The socket options can't be set.
pub fn accept(socket: TcpStream, user_timeout: Duration) -> Result<(LinkReader, LinkWriter), LinkError> {
    set_up(socket, user_timeout, true)
}

fn set_up(
    socket: TcpStream,
    user_timeout: Duration,
    is_accepted: bool,
) -> Result<(LinkReader, LinkWriter), LinkError> {
    socket.set_nodelay(true)?;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(user_timeout))?;
    let (reader, writer) = socket.into_split();
    let reader = LinkReader { socket: reader, buffer: BytesMut::new(), expects_first_message: is_accepted };
    let writer = LinkWriter { socket: writer, buffer: BytesMut::new() };
    Ok((reader, writer))
}
