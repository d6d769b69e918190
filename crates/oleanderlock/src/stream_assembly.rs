//! Reassembles a streamed answer from its chunks, across all attempts of the request.
//!
//! After an error the current attempt is unusable, but the contiguous tokens stay valid and another
//! attempt can continue after them. The memory is bounded by [`AssemblyLimits`].

use crate::assembly_error::AssemblyError;
use crate::assembly_limits::AssemblyLimits;
use crate::attribution::Attribution;
use crate::chunk_outcome::ChunkOutcome;
use crate::prelude::*;
use crate::released_data::ReleasedData;
use crate::resume_point::ResumePoint;
use crate::sample_guards::SampleGuards;
use crate::stream_chunk::StreamChunk;
use crate::whole_answer::WholeAnswer;
use bytes::{Bytes, BytesMut};

/// The answer to one request, as far as it was received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamAssembly {
    /// The current attempt.
    ticket: Ticket,
    limits: AssemblyLimits,
    guards: SampleGuards,
    /// Text of the contiguous tokens.
    data: BytesMut,
    attribution: Attribution,
    /// Chunks after a gap, by offset, without overlap.
    pending: Vec<StreamChunk>,
    /// Number of tokens of the whole answer, by the end mark.
    end: Option<u64>,
    released_tokens: u64,
    released_bytes: usize,
}

impl StreamAssembly {
    /// Creates an empty answer whose first attempt is `ticket`.
    pub fn new(ticket: Ticket, limits: AssemblyLimits) -> Self {
        Self::with_guards(ticket, limits, SampleGuards::ALL)
    }

    /// Creates an empty answer with some guards disabled; for model checking only.
    pub fn with_guards(ticket: Ticket, limits: AssemblyLimits, guards: SampleGuards) -> Self {
        Self {
            ticket,
            limits,
            guards,
            data: BytesMut::new(),
            attribution: Attribution::new(),
            pending: Vec::new(),
            end: None,
            released_tokens: 0,
            released_bytes: 0,
        }
    }

    /// Returns the current attempt.
    pub const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Returns the number of contiguous tokens.
    pub fn tokens(&self) -> u64 {
        self.attribution.end()
    }

    /// Processes a chunk. Chunks may arrive in any order and more than once.
    ///
    /// # Errors
    ///
    /// The chunk is malformed, contradicts others or exceeds a limit; the attempt is unusable.
    pub fn chunk(&mut self, chunk: StreamChunk) -> Result<ChunkOutcome, AssemblyError> {
        if self.is_other_attempt(chunk.ticket) {
            return Ok(ChunkOutcome::OtherAttempt);
        }
        self.check_chunk(&chunk)?;
        if chunk.end() <= self.tokens() {
            return Ok(ChunkOutcome::Duplicate);
        }
        if chunk.offset < self.tokens() {
            return Err(AssemblyError::Overlap);
        }
        if chunk.offset > self.tokens() {
            return self.buffer(chunk);
        }
        self.check_follows(chunk.end())?;
        self.extend(&chunk)?;
        self.drain_pending()?;
        Ok(ChunkOutcome::Accepted)
    }

    /// Processes the end mark of an attempt; `total` is the number of tokens of the whole answer.
    ///
    /// # Errors
    ///
    /// [`AssemblyError::WrongEnd`] if it contradicts the chunks or another end mark.
    pub fn finish(&mut self, ticket: Ticket, total: u64) -> Result<ChunkOutcome, AssemblyError> {
        if self.is_other_attempt(ticket) {
            return Ok(ChunkOutcome::OtherAttempt);
        }
        let pending_end = self.pending.last().map_or(0, StreamChunk::end);
        if total < self.tokens().max(pending_end) {
            return Err(AssemblyError::WrongEnd);
        }
        match self.end {
            Some(end) if end == total => Ok(ChunkOutcome::Duplicate),
            Some(_) => Err(AssemblyError::WrongEnd),
            None => {
                self.end = Some(total);
                Ok(ChunkOutcome::Accepted)
            }
        }
    }

    /// Continues with a later attempt after the contiguous tokens; discards buffered out-of-order
    /// chunks. Only for idempotent requests.
    ///
    /// # Errors
    ///
    /// The answer is complete, or `ticket` is not a later attempt of the same request.
    pub fn resume(&mut self, ticket: Ticket) -> Result<ResumePoint, AssemblyError> {
        self.check_later(ticket)?;
        self.replace_attempt(ticket);
        Ok(ResumePoint {
            offset: self.tokens(),
            text: Bytes::copy_from_slice(&self.data),
        })
    }

    /// Discards the answer and starts it again with a later attempt. Only for idempotent requests.
    ///
    /// # Errors
    ///
    /// As [`Self::resume`], and [`AssemblyError::AlreadyReleased`] if data was released.
    pub fn restart(&mut self, ticket: Ticket) -> Result<(), AssemblyError> {
        self.check_later(ticket)?;
        if self.guards.keep_released && self.released_tokens > 0 {
            return Err(AssemblyError::AlreadyReleased);
        }
        self.replace_attempt(ticket);
        self.data.clear();
        self.attribution = Attribution::new();
        Ok(())
    }

    /// Releases the contiguous data that has not been released yet, so that each token is released
    /// once; `None` if there is none.
    pub fn release(&mut self) -> Option<ReleasedData> {
        let offset = self.released_tokens;
        let tokens = self.tokens().saturating_sub(offset);
        if tokens == 0 {
            return None;
        }
        let data = Bytes::copy_from_slice(&self.data[self.released_bytes..]);
        self.released_tokens += tokens;
        self.released_bytes = self.data.len();
        Some(ReleasedData {
            offset,
            tokens,
            data,
        })
    }

    /// Returns whether the end mark and all tokens before it were received.
    pub fn is_whole(&self) -> bool {
        match self.guards.end_mark {
            true => self.end == Some(self.tokens()),
            false => self.tokens() > 0,
        }
    }

    /// Returns the answer if it is complete.
    pub fn whole(&self) -> Option<WholeAnswer> {
        self.is_whole().then(|| WholeAnswer {
            data: Bytes::copy_from_slice(&self.data),
            tokens: self.tokens(),
            attribution: self.attribution.clone(),
        })
    }

    fn is_other_attempt(&self, ticket: Ticket) -> bool {
        self.guards.current_attempt && ticket != self.ticket
    }

    fn check_chunk(&self, chunk: &StreamChunk) -> Result<(), AssemblyError> {
        if chunk.tokens == 0 {
            return Err(AssemblyError::EmptyChunk);
        }
        let end = chunk.offset.checked_add(chunk.tokens);
        let end = end.ok_or(AssemblyError::WrongEnd)?;
        if self.end.is_some_and(|total| end > total) {
            return Err(AssemblyError::WrongEnd);
        }
        Ok(Attribution::check_chunk(
            &chunk.segments,
            chunk.offset,
            end,
        )?)
    }

    /// Checks that a chunk up to `end` does not overlap the first buffered one.
    fn check_follows(&self, end: u64) -> Result<(), AssemblyError> {
        match self.pending.first() {
            Some(next) if next.offset < end => Err(AssemblyError::Overlap),
            _ => Ok(()),
        }
    }

    fn buffer(&mut self, chunk: StreamChunk) -> Result<ChunkOutcome, AssemblyError> {
        let index = self.pending.partition_point(|p| p.offset < chunk.offset);
        let next = self.pending.get(index);
        if next.is_some_and(|p| p.offset == chunk.offset && p.tokens == chunk.tokens) {
            return Ok(ChunkOutcome::Duplicate);
        }
        let overlaps_next = next.is_some_and(|p| p.offset < chunk.end());
        let overlaps_last = index > 0 && self.pending[index - 1].end() > chunk.offset;
        if overlaps_next || overlaps_last {
            return Err(AssemblyError::Overlap);
        }
        let pending: usize = self.pending.iter().map(|p| p.data.len()).sum();
        let too_many = self.pending.len() >= self.limits.pending_chunks;
        if too_many || pending + chunk.data.len() > self.limits.pending_bytes {
            return Err(AssemblyError::TooFarAhead);
        }
        self.pending.insert(index, chunk);
        Ok(ChunkOutcome::Buffered)
    }

    fn extend(&mut self, chunk: &StreamChunk) -> Result<(), AssemblyError> {
        if self.data.len() + chunk.data.len() > self.limits.answer_bytes {
            return Err(AssemblyError::TooLarge);
        }
        self.attribution
            .append_all(&chunk.segments, chunk.offset, chunk.end())?;
        self.data.extend_from_slice(&chunk.data);
        Ok(())
    }

    fn drain_pending(&mut self) -> Result<(), AssemblyError> {
        while self
            .pending
            .first()
            .is_some_and(|p| p.offset == self.tokens())
        {
            let chunk = self.pending.remove(0);
            self.extend(&chunk)?;
        }
        Ok(())
    }

    fn check_later(&self, ticket: Ticket) -> Result<(), AssemblyError> {
        if self.is_whole() {
            return Err(AssemblyError::AlreadyWhole);
        }
        let same_request = ticket.request == self.ticket.request;
        match same_request && ticket.attempt > self.ticket.attempt {
            true => Ok(()),
            false => Err(AssemblyError::NotLater),
        }
    }

    fn replace_attempt(&mut self, ticket: Ticket) {
        self.ticket = ticket;
        if self.guards.reset_end {
            self.end = None;
        }
        if self.guards.clear_pending {
            self.pending.clear();
        }
    }
}
