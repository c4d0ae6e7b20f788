//! The buffer that all connections read into. One thread reads from one of them at a time, so that one buffer is enough,
//! and a connection that waits holds none.

use crate::os::socket::{uninterrupted, Call, SocketError};
use crate::postgres::Framer;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Bytes that are read at once, at most: a usual row, or many small messages, in one call.
pub const SIZE: usize = 64 * 1024;

/// A buffer of [`SIZE`] bytes, shared by all connections.
pub struct ReadBuffer(RefCell<Box<[u8]>>);

impl ReadBuffer {
    /// A buffer, to be shared.
    pub fn new() -> Rc<ReadBuffer> {
        Rc::new(ReadBuffer(RefCell::new(vec![0; SIZE].into())))
    }

    /// Reads once, without waiting, and feeds the framer if there is one. Gives how many bytes came, 0 at the end of the
    /// stream, and None if the connection was not ready after all. A call that a signal interrupts is repeated.
    ///
    /// # Errors
    ///
    /// Whatever else the call fails with.
    pub fn read(
        &self,
        mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
        framer: Option<&mut Framer>,
    ) -> Result<Option<usize>, SocketError> {
        let mut bytes = self.0.borrow_mut();
        let once = |most: usize| {
            let room = most.min(bytes.len());
            read(&mut bytes[..room])
        };
        match uninterrupted(Call::Read, once) {
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
