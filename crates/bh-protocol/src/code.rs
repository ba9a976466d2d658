//! Result codes: the outcome of a request, and what its sender should do next.
//!
//! `docs/RESULT-CODES.md` is checked against this table by a test.

use std::fmt;

/// Whether the work behind a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Executed {
    /// The work was not sent to a target, so it is safe to resend the request.
    No,
    /// The work was executed.
    Yes,
    /// A target may have executed the work, but its outcome is unknown.
    Unknown,
}

impl Executed {
    /// The word for it in answers and in the documentation.
    pub fn as_str(self) -> &'static str {
        match self {
            Executed::No => "no",
            Executed::Yes => "yes",
            Executed::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($variant:ident = $number:literal, $status:literal, $exit:literal, $executed:ident, $title:literal, $help:literal;)+) => {
        /// A result code. The meaning of a number never changes once it is released.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code {
            $(#[doc = $title] $variant,)+
        }

        impl Code {
            /// All codes, ordered by number.
            pub const ALL: &'static [Code] = &[$(Code::$variant,)+];

            /// The stable number written in answers, logs and the documentation.
            pub fn number(self) -> u32 {
                match self { $(Code::$variant => $number,)+ }
            }

            /// The HTTP status of an answer with this code.
            pub fn http_status(self) -> u16 {
                match self { $(Code::$variant => $status,)+ }
            }

            /// The exit status of `beechctl` when this is the result.
            pub fn exit_status(self) -> u8 {
                match self { $(Code::$variant => $exit,)+ }
            }

            /// Whether the work was executed, as far as this code tells.
            pub fn executed(self) -> Executed {
                match self { $(Code::$variant => Executed::$executed,)+ }
            }

            /// What happened, in one clause.
            pub fn title(self) -> &'static str {
                match self { $(Code::$variant => $title,)+ }
            }

            /// What the sender can do about it.
            pub fn help(self) -> &'static str {
                match self { $(Code::$variant => $help,)+ }
            }
        }
    };
}

codes! {
    Done = 0, 200, 0, Yes, "Done", "Nothing to do.";
    MalformedHead = 101, 400, 2, No, "The request head is malformed", "Send a well-formed HTTP/1.1 request head.";
    AmbiguousLength = 102, 400, 2, No, "The request states its body length in more than one way", "Send either one Content-Length or Transfer-Encoding: chunked, never both.";
    HeadTooLarge = 103, 431, 2, No, "The request head is too large", "Send fewer or shorter headers.";
    BodyTooLarge = 104, 413, 2, No, "The request body is over the limit", "Send a smaller body, or have the request type's max_body_bytes raised.";
    NotFound = 105, 404, 2, No, "There is no such resource", "Check the path against docs/OPERATIONS.md.";
    MethodNotAllowed = 106, 405, 2, No, "The method is not supported on this path", "Check the method against docs/OPERATIONS.md.";
    MalformedBody = 107, 400, 2, No, "The request body could not be read", "Send the JSON documented for this path.";
    UnknownCustomer = 110, 404, 2, No, "The customer is not in the settings", "Check the name with `beechctl settings get`.";
    UnknownRequestType = 111, 404, 2, No, "The request type is not in the settings of the customer's team", "Check the name with `beechctl settings get`.";
    UnknownShape = 112, 404, 2, No, "The job shape is not in the settings of the customer's team", "Check the name with `beechctl settings get`.";
    UnknownJob = 113, 404, 2, No, "There is no such job in this data centre", "List jobs with `beechctl job list`.";
    NeverFits = 114, 422, 2, No, "The shape can never be placed on the targets of this data centre", "Use a smaller shape, or wait until larger targets have announced themselves.";
    QuotaTooSmall = 115, 422, 2, No, "The job is larger than the quota", "Have quota_accelerators raised, or use a smaller shape.";
    KeyReused = 116, 409, 2, No, "The idempotency key was already used for something else", "Use a new key for a new request.";
    UnknownDataCentre = 117, 404, 2, No, "There is no such data centre", "Check the name with `beechctl core status`, or the list of data centres in the core's file.";
    NotAuthorized = 120, 401, 3, No, "The token is missing or unknown", "Send `Authorization: Bearer TOKEN` with a token of the right team.";
    Forbidden = 121, 403, 3, No, "The token does not allow this change", "Use a token of the team that owns the subtree, or an administrator's.";
    RevisionConflict = 130, 409, 4, No, "The subtree has changed since the revision the change was made against", "Read the settings again, make the change against the new revision and resend.";
    InvalidSettings = 131, 422, 4, No, "The settings are invalid", "Correct every problem listed and apply again.";
    NoTarget = 200, 503, 5, No, "No target could take the request before its deadline", "Resend after the time given in Retry-After.";
    Overloaded = 201, 503, 5, No, "The request would not finish before its deadline", "Resend after the time given in Retry-After.";
    Draining = 202, 503, 5, No, "This entry is shutting down", "Resend; the balancer will choose another entry.";
    NoQuorum = 203, 503, 5, No, "This data centre cannot reach a quorum for the change", "Resend after the time given in Retry-After; nothing was recorded.";
    TooManyConnections = 204, 503, 5, No, "Too many connections are open", "Close idle connections and resend.";
    NoMemory = 205, 503, 5, No, "There is no memory for the request beside those of others", "Resend after the time given in Retry-After.";
    TargetFailed = 300, 502, 6, Yes, "The target ran the request and reported a failure", "Read the body for the target's own words.";
    Cancelled = 301, 409, 6, Yes, "The job was cancelled", "Submit it again with a new key if that was a mistake.";
    JobFailed = 302, 422, 6, Yes, "The job failed on several targets and was given up", "Read the job's reason; the job itself is the likely cause.";
    AnswerNotKept = 303, 410, 6, Yes, "The request ran earlier and its answer was too large to keep", "Ask the service behind the request for the result.";
    OutcomeUnknown = 400, 504, 7, Unknown, "The request was sent to a target and its outcome could not be learned", "Check the effect before you resend under a new key.";
    StillRunning = 401, 409, 7, Unknown, "A request with this idempotency key is in progress", "Resend with the same key after the time given in Retry-After.";
    BadConfigFile = 500, 422, 8, No, "The configuration file is invalid", "Correct every problem listed and start again.";
    UnreadableFile = 501, 422, 8, No, "The file could not be read", "Check the path and its permissions.";
    DamagedLog = 502, 500, 9, No, "The data folder holds a damaged record before its end", "Move the data folder aside and start again: the entry rejoins as a new replica.";
    FolderInUse = 503, 500, 9, No, "The data folder belongs to another VM", "Give each VM a data folder of its own.";
    DiskFailed = 504, 500, 9, No, "The data folder could not be written", "Check the disk; the entry stops because it can no longer keep its promises.";
    DiskFull = 505, 500, 9, No, "The data folder has no room left", "Make room on the disk; the process goes on once there is some.";
    NoDescriptors = 506, 500, 9, No, "Too many files and connections are open to write the data folder", "Raise the process's limit of open files; it goes on once some are closed.";
    Unreachable = 600, 503, 10, Unknown, "The entry did not answer in time", "Try another entry, or raise --timeout-ms.";
    Internal = 601, 500, 10, Unknown, "An unexpected fault in beechhollow", "Please report it with the log lines around it.";
}

impl Code {
    /// The code with `number`, if there is one.
    pub fn from_number(number: u32) -> Option<Code> {
        Code::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BH{:03}", self.number())
    }
}
