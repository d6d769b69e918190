//! Reference implementation of a stream assembly, which keeps every chunk and scans all of them.

use oleanderlock::assembly_error::AssemblyError;
use oleanderlock::assembly_limits::AssemblyLimits;
use oleanderlock::attribution::Attribution;
use oleanderlock::chunk_outcome::ChunkOutcome;
use oleanderlock::prelude::*;
use oleanderlock::segment::Segment;
use oleanderlock::stream_chunk::StreamChunk;

/// Chunks of the current attempt, after those kept from earlier ones.
pub struct NaiveAssembly {
    pub ticket: Ticket,
    pub limits: AssemblyLimits,
    pub chunks: Vec<StreamChunk>,
    pub end: Option<u64>,
    pub released: u64,
}

impl NaiveAssembly {
    pub fn new(ticket: Ticket, limits: AssemblyLimits) -> Self {
        Self {
            ticket,
            limits,
            chunks: Vec::new(),
            end: None,
            released: 0,
        }
    }

    /// Returns the chunks that follow each other from token 0 on.
    pub fn contiguous(&self) -> Vec<&StreamChunk> {
        let mut found: Vec<&StreamChunk> = Vec::new();
        loop {
            let end = found.last().map_or(0, |chunk| chunk.end());
            match self.chunks.iter().find(|chunk| chunk.offset == end) {
                Some(next) => found.push(next),
                None => return found,
            }
        }
    }

    pub fn tokens(&self) -> u64 {
        self.contiguous().last().map_or(0, |chunk| chunk.end())
    }

    pub fn text(&self) -> Vec<u8> {
        self.contiguous()
            .iter()
            .flat_map(|chunk| chunk.data.to_vec())
            .collect()
    }

    pub fn versions(&self) -> Vec<Option<Version>> {
        let segments = self
            .contiguous()
            .into_iter()
            .flat_map(|chunk| &chunk.segments);
        segments
            .flat_map(|s: &Segment| (s.first..s.end).map(|_| s.version))
            .collect()
    }

    pub fn is_whole(&self) -> bool {
        self.end == Some(self.tokens())
    }

    pub fn chunk(&mut self, chunk: StreamChunk) -> Result<ChunkOutcome, AssemblyError> {
        if chunk.ticket != self.ticket {
            return Ok(ChunkOutcome::OtherAttempt);
        }
        if chunk.tokens == 0 {
            return Err(AssemblyError::EmptyChunk);
        }
        if self.end.is_some_and(|end| chunk.end() > end) {
            return Err(AssemblyError::WrongEnd);
        }
        Attribution::check_chunk(&chunk.segments, chunk.offset, chunk.end())?;
        let tokens = self.tokens();
        let same = |c: &StreamChunk| c.offset == chunk.offset && c.tokens == chunk.tokens;
        if chunk.end() <= tokens || self.chunks.iter().any(same) {
            return Ok(ChunkOutcome::Duplicate);
        }
        let overlaps = |c: &StreamChunk| c.offset < chunk.end() && chunk.offset < c.end();
        if self.chunks.iter().any(overlaps) {
            return Err(AssemblyError::Overlap);
        }
        if chunk.offset == tokens {
            self.chunks.push(chunk);
            return Ok(ChunkOutcome::Accepted);
        }
        let ahead: Vec<_> = self.chunks.iter().filter(|c| c.offset >= tokens).collect();
        let bytes: usize = ahead.iter().map(|c| c.data.len()).sum();
        let too_many = ahead.len() + 1 > self.limits.pending_chunks;
        if too_many || bytes + chunk.data.len() > self.limits.pending_bytes {
            return Err(AssemblyError::TooFarAhead);
        }
        self.chunks.push(chunk);
        Ok(ChunkOutcome::Buffered)
    }

    pub fn finish(&mut self, ticket: Ticket, total: u64) -> Result<ChunkOutcome, AssemblyError> {
        if ticket != self.ticket {
            return Ok(ChunkOutcome::OtherAttempt);
        }
        if self.chunks.iter().any(|chunk| chunk.end() > total) {
            return Err(AssemblyError::WrongEnd);
        }
        match self.end {
            None => {
                self.end = Some(total);
                Ok(ChunkOutcome::Accepted)
            }
            Some(end) if end == total => Ok(ChunkOutcome::Duplicate),
            Some(_) => Err(AssemblyError::WrongEnd),
        }
    }

    /// Returns whether the attempt may continue the answer; if so, keeps only the contiguous chunks.
    pub fn resume(&mut self, ticket: Ticket) -> bool {
        let later = ticket.attempt > self.ticket.attempt && ticket.request == self.ticket.request;
        if self.is_whole() || !later {
            return false;
        }
        self.chunks = self.contiguous().into_iter().cloned().collect();
        self.ticket = ticket;
        self.end = None;
        true
    }
}
