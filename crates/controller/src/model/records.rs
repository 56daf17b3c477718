//! What the controllers keep in the state service, and under which keys. `docs/upgrade.md`
//! says which version reads and writes what.

use protocol::cloud::MachineType;
use protocol::job::{JobSpec, JobStatus};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::ser::Formatter;
use std::io::{self, Write};

pub const LEADER_KEY: &str = "a/leader";
pub const TYPES_KEY: &str = "a/types";
pub const NODE_PREFIX: &str = "a/";
pub const JOB_PREFIX: &str = "j/";
pub const PAGE_PREFIX: &str = "t/";
/// Jobs that are over, out of the way of lists of those that are not.
pub const OVER_PREFIX: &str = "jo/";
/// Both kinds of jobs, for watches: a job is in one place at every revision.
pub const JOBS_WATCHED: &str = "j";
/// Specifications that are too large for a job's record.
pub const PARTS_PREFIX: &str = "w/";
/// The catalogue of machine types, if it is too large for one value: its text in parts, by a
/// name that the first key holds.
pub const CATALOGUE_PREFIX: &str = "y/";
/// Which images the machines hold, for the next leader.
pub const IMAGES_PREFIX: &str = "i/";
/// The format that all nodes can read. Written once they have all said so.
pub const FORMAT_KEY: &str = "f/format";
/// 2: jobs that are over lie in a place of their own. 3: pages have layouts, and a job
/// waits for others.
pub const FORMAT: u32 = 3;
/// From this format on, jobs that are over may move.
pub const FORMAT_MOVES: u32 = 2;
/// Cancellations of jobs whose own record is too large to be written again.
pub const MARK_PREFIX: &str = "jx/";

pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

pub fn over_key(id: &str) -> String {
    format!("{OVER_PREFIX}{id}")
}

/// The job that a key of either place is of.
pub fn id_of(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX).or_else(|| key.strip_prefix(OVER_PREFIX))
}

pub fn images_key(part: usize) -> String {
    format!("{IMAGES_PREFIX}{part:04}")
}

/// The job, number and layout of a page's key.
pub fn page_of_key(key: &str) -> Option<(&str, usize, u32)> {
    let (id, rest) = key.strip_prefix(PAGE_PREFIX)?.rsplit_once('/')?;
    let (number, layout) = rest.split_once('.').unwrap_or((rest, "0"));
    Some((id, number.parse().ok()?, layout.parse().ok()?))
}

/// The key of a job's page in its layout of that number. (Versions that know no layouts
/// take the keys of all but the first for none of theirs.)
pub fn page_key(id: &str, page: usize, layout: u32) -> String {
    match layout {
        0 => format!("{PAGE_PREFIX}{id}/{page:06}"),
        n => format!("{PAGE_PREFIX}{id}/{page:06}.{n}"),
    }
}

pub fn mark_key(id: &str) -> String {
    format!("{MARK_PREFIX}{id}")
}

/// Bytes that `value` takes in JSON, in which the state service counts; with a space behind
/// every comma and colon, as some write it.
pub fn json_size<T: Serialize>(value: &T) -> usize {
    struct Spaced;
    impl Formatter for Spaced {
        fn begin_array_value<W: ?Sized + Write>(&mut self, w: &mut W, first: bool) -> io::Result<()> {
            w.write_all(if first { b"" } else { b", " })
        }
        fn begin_object_key<W: ?Sized + Write>(&mut self, w: &mut W, first: bool) -> io::Result<()> {
            w.write_all(if first { b"" } else { b", " })
        }
        fn begin_object_value<W: ?Sized + Write>(&mut self, w: &mut W) -> io::Result<()> {
            w.write_all(b": ")
        }
    }
    struct Counted(usize);
    impl Write for Counted {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut json = serde_json::Serializer::with_formatter(Counted(0), Spaced);
    // Counting fails only for what cannot be written as JSON at all: never stored.
    match value.serialize(&mut json) {
        Ok(()) => json.into_inner().0,
        Err(_) => usize::MAX / 4,
    }
}

/// Every stored value is one of these, told apart by the map's only key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    Leader(LeaderRecord),
    Types(Vec<MachineType>),
    Job(Box<JobRecord>),
    Page(PageRecord),
    #[serde(rename = "Over")]
    Terminal(TerminalRecord),
    Images(ImagesRecord),
    Format(u32),
    /// A piece of a specification's text.
    #[serde(rename = "Part")]
    SpecChunk(String),
    /// What this version cannot read; never written.
    #[serde(skip)]
    Undecodable,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// When it claimed, by its time of day in seconds; 0 from nodes that do not tell.
    #[serde(default)]
    #[serde(rename = "at")]
    pub elected_wall_s: f64,
    /// How often in a row this node took over from an earlier start of its own that had
    /// not led for long.
    #[serde(default)]
    #[serde(rename = "again")]
    pub quick_restarts: u32,
    /// The lease that it claimed with; 0 from nodes that do not tell.
    #[serde(default)]
    pub lease: u64,
}

/// What is left of a job that is over: all that users are ever told of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    pub status: JobStatus,
    pub done: u32,
    /// Time of day of the submission, in seconds.
    #[serde(rename = "at")]
    pub submitted_wall_s: f64,
}

/// The images that some machines hold, the latest first.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Names and sizes in GB.
    pub images: Vec<(String, f64)>,
    /// Machines, with places in `images`.
    pub machines: Vec<(String, Vec<u32>)>,
}

/// One task's place: committed before its launch, removed only on proof.
/// Stored as a list, which takes half the room of a map; records that an earlier
/// version stored as maps are read as well.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredPlacement {
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
}

impl Serialize for StoredPlacement {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut t = s.serialize_tuple(3)?;
        t.serialize_element(&self.task)?;
        t.serialize_element(&self.attempt)?;
        t.serialize_element(&self.machine)?;
        t.end()
    }
}

impl StoredPlacement {
    /// Bytes in JSON, at most: both numbers, the name, and what is around them.
    pub fn size(task: u32, attempt: u64, machine: &str) -> usize {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        digits(u64::from(task)) + digits(attempt) + machine.len() + 10
    }
}

/// State of the tasks of one page of a job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Finished tasks, four to a hexadecimal digit, lowest number first.
    pub done: String,
    #[serde(rename = "places")]
    pub placements: Vec<StoredPlacement>,
}

/// A job's record. Its first page of tasks is inlined, so that a job of
/// ordinary size is one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day of the submission, in seconds.
    #[serde(rename = "at")]
    pub submitted_wall_s: f64,
    pub status: JobStatus,
    pub done: u32,
    pub running: u32,
    /// Highest attempt number given out.
    pub attempt: u64,
    /// Tasks per page; kept so that other settings cannot reinterpret it.
    pub per_page: u32,
    #[serde(rename = "page")]
    pub first_page: PageRecord,
    /// Machines that have its image, as far as it ran there; a new leader
    /// learns from it what idle machines hold.
    #[serde(default)]
    #[serde(rename = "ran_on")]
    pub machines_with_image: Vec<String>,
    /// Time of day when the last job that it awaits was known to be done, in seconds. None:
    /// it awaits none, or still waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "freed_at")]
    pub ready_wall_s: Option<f64>,
    /// Where its specification is, if that is too large for a record: `spec` has no lists
    /// and no image then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "parts")]
    pub spec_chunks: Option<SpecChunks>,
    /// Number of the layout of its pages: only those of this one count.
    #[serde(default, skip_serializing_if = "is_first")]
    pub layout: u32,
}

/// The text of `value` in pieces that each fit a stored value.
fn pieces<T: Serialize>(value: &T, fit: usize) -> Vec<String> {
    let text = serde_json::to_string(value).unwrap_or_default();
    // Quotes take two bytes in a text.
    let each = (fit.saturating_sub(60) / 2).max(16);
    let mut pieces: Vec<String> = vec![String::new()];
    for c in text.chars() {
        match pieces.last_mut() {
            Some(p) if p.len() + c.len_utf8() <= each => p.push(c),
            _ => pieces.push(c.into()),
        }
    }
    pieces
}

/// The catalogue's text by keys, as many as `fit` asks for. A node that finds no `TYPES_KEY`
/// reads these.
pub fn catalogue(types: &[MachineType], fit: usize) -> Vec<(String, Value)> {
    let pieces = pieces(&types, fit).into_iter().enumerate();
    pieces.map(|(n, text)| (format!("{CATALOGUE_PREFIX}{n:05}"), Value::SpecChunk(text))).collect()
}

/// The catalogue of such pieces; None: they are not all of one text.
pub fn read_catalogue(pieces: &[String]) -> Option<Vec<MachineType>> {
    serde_json::from_str(&pieces.concat()).ok()
}

/// Where the text of a specification lies: `count` values under a name that no other
/// submission has used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecChunks {
    pub nonce: String,
    pub count: u32,
}

/// What naming its parts takes of a record.
pub const PARTS_BYTES: usize = 80;

impl SpecChunks {
    /// The prefix of the keys, which are in the order of the text.
    pub fn prefix(&self, id: &str) -> String {
        format!("{PARTS_PREFIX}{id}/{}/", self.nonce)
    }

    pub fn keys(&self, id: &str) -> Vec<String> {
        (0..self.count).map(|n| format!("{}{n:05}", self.prefix(id))).collect()
    }

    /// The job and nonce of a part's key.
    pub fn of_key(key: &str) -> Option<(&str, &str)> {
        let (whole, _) = key.strip_prefix(PARTS_PREFIX)?.rsplit_once('/')?;
        whole.split_once('/')
    }
}

/// A specification without what may be long.
pub fn stub(spec: &JobSpec) -> JobSpec {
    JobSpec {
        class: String::new(),
        team: String::new(),
        image: String::new(),
        machine_types: None,
        zone: None,
        dependencies: Vec::new(),
        ..spec.clone()
    }
}

fn is_first(layout: &u32) -> bool {
    *layout == 0
}

impl JobRecord {
    /// A job that has just been submitted.
    pub fn new(spec: JobSpec, at: f64, fit: usize) -> Self {
        JobRecord {
            per_page: tasks_per_page(fit, json_size(&spec)),
            submitted_wall_s: at,
            status: JobStatus::Pending,
            done: 0,
            running: 0,
            attempt: 0,
            first_page: PageRecord::default(),
            machines_with_image: Vec::new(),
            ready_wall_s: None,
            spec_chunks: None,
            layout: 0,
            spec,
        }
    }

    /// The same with its specification in parts, and these: for one whose record would not
    /// fit. Nothing of theirs counts before the record is written that names them.
    pub fn split_spec(self, nonce: String, fit: usize) -> (Self, Vec<(String, Value)>) {
        let pieces = pieces(&self.spec, fit);
        let parts = SpecChunks { nonce, count: pieces.len() as u32 };
        let keys = parts.keys(&self.spec.id);
        let values = keys.into_iter().zip(pieces.into_iter().map(Value::SpecChunk)).collect();
        let spec = stub(&self.spec);
        let per_page = tasks_per_page(fit, json_size(&spec) + PARTS_BYTES);
        (JobRecord { spec, per_page, spec_chunks: Some(parts), ..self }, values)
    }

    /// Puts the specification back that was split; false if these are not its parts.
    pub fn join_spec(&mut self, pieces: &[String]) -> bool {
        let Some(parts) = &self.spec_chunks else { return true };
        if pieces.len() != parts.count as usize {
            return false;
        }
        match serde_json::from_str::<JobSpec>(&pieces.concat()) {
            Ok(spec) if spec.id == self.spec.id => {
                self.spec = spec;
                true
            }
            _ => false,
        }
    }

    /// The same without what can be done without.
    pub fn trimmed(mut self) -> Self {
        self.machines_with_image.clear();
        self
    }

    /// Whether its cancellation may be a mark beside it, where a value may take `fit` bytes:
    /// another status may take more room than its own.
    pub fn may_have_cancellation_mark(&self, fit: usize) -> bool {
        json_size(self) + STATUS_BYTES > fit
    }

    /// The jobs that it still waits for, as far as the record tells.
    pub fn dependencies(&self) -> &[String] {
        if self.ready_wall_s.is_some() || self.status.is_final() {
            return &[];
        }
        &self.spec.dependencies
    }
}

/// Bytes by which names of statuses differ, at most.
const STATUS_BYTES: usize = 8;

/// Most machines that a record remembers.
pub const MOST_RAN_ON: usize = 40;

/// A placement's usual size in JSON.
const PLACE_BYTES: usize = 24;
/// What a record takes in JSON beside specification, placements and bits of tasks: names of
/// fields and numbers as long as they get.
pub const RECORD_BYTES: usize = 320;
/// What names of machines may take in a first page beyond that, where there is room.
const ROOMY_BYTES: usize = 1792;

/// Tasks per page such that a page full of placements usually stays within `fit` bytes.
/// Names longer than usual fill a page with fewer: what is over waits.
pub fn tasks_per_page(fit: usize, spec_size: usize) -> u32 {
    // A quarter of a byte a task for what has ended.
    (page_room(fit, spec_size) * 4 / (PLACE_BYTES * 4 + 1)).clamp(4, 4096) as u32 / 4 * 4
}

/// Bytes that the placements and bits of a first page may take, and so those of any.
pub fn page_room(fit: usize, spec_size: usize) -> usize {
    let rest = (spec_size + RECORD_BYTES).max(ROOMY_BYTES.min(fit / 4));
    fit.saturating_sub(rest)
}

pub fn pack_bits(bits: &[bool]) -> String {
    bits.chunks(4)
        .map(|c| {
            let n = c.iter().enumerate().fold(0u32, |n, (i, &b)| n | (u32::from(b) << i));
            char::from_digit(n, 16).unwrap_or('0')
        })
        .collect()
}

/// Sets the bits that `text` has set; never clears one.
pub fn merge_bits(bits: &mut [bool], text: &str) {
    for (i, c) in text.chars().enumerate() {
        let n = c.to_digit(16).unwrap_or(0);
        for b in 0..4 {
            if n & (1 << b) != 0 {
                if let Some(bit) = bits.get_mut(i * 4 + b) {
                    *bit = true;
                }
            }
        }
    }
}
