//! The read buffer that all connections share. The gateway has one thread, which reads from one connection at
//! a time, so a connection that waits for bytes needs no buffer of its own.

use crate::os::socket::{retry_interrupted, Call, SocketError};
use crate::postgres::Framer;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Maximum number of bytes per read: enough for a typical row or many small messages.
pub const SIZE: usize = 64 * 1024;

/// A buffer of [`SIZE`] bytes, shared by all connections.
pub struct ReadBuffer(RefCell<Box<[u8]>>);

impl ReadBuffer {
    /// Creates the buffer.
    pub fn new() -> Rc<ReadBuffer> {
        Rc::new(ReadBuffer(RefCell::new(vec![0; SIZE].into())))
    }

    /// Reads once without waiting, and feeds the bytes to `framer` if given. Returns the number of bytes
    /// read, 0 at the end of the stream, or `None` if the connection was not ready. A call that is
    /// interrupted by a signal is repeated.
    ///
    /// # Errors
    ///
    /// Fails with any other error of the call.
    pub fn read(
        &self,
        mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
        framer: Option<&mut Framer>,
    ) -> Result<Option<usize>, SocketError> {
        let mut bytes = self.0.borrow_mut();
        let read_once = |max_bytes: usize| {
            let capacity = max_bytes.min(bytes.len());
            read(&mut bytes[..capacity])
        };
        match retry_interrupted(Call::Read, read_once) {
            Ok(count) => {
                if let Some(framer) = framer {
                    framer.feed(&bytes[..count]);
                }
                Ok(Some(count))
            }
            Err(SocketError::WouldBlock) => Ok(None),
            Err(error) => Err(error),
        }
    }
}
