//! INI text with the line of every mistake.
//!
//! rust-ini parses each line on its own. Given a whole file it keeps no line
//! numbers, stops at the first mistake, and takes a line without `=` for the
//! beginning of the next line's key. Sections and duplicates are therefore
//! tracked here, by line.

use std::cell::RefCell;
use std::fmt;

use ini::{Ini, ParseOption};

use crate::code::Code;

pub mod value;

pub use value::ValueError;

/// A mistake in a preset or settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line, from 1.
    pub line: usize,
    /// What is wrong.
    pub code: Code,
    /// The offending text and what was expected.
    pub detail: String,
    /// What to do about it.
    pub hint: &'static str,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (number, text) = (self.code.number(), self.code.text());
        write!(f, "{}: code {number}: {text}: {}", self.line, self.detail)?;
        write!(f, " ({})", self.hint)
    }
}

/// Sections of one kind that a file may contain.
#[derive(Clone, Copy, Debug)]
pub struct SectionSchema {
    /// First word of the header.
    pub kind: &'static str,
    /// Whether the header has a second word, the name.
    pub named: bool,
    /// Keys that the section may contain.
    pub keys: &'static [&'static str],
}

struct Item {
    line: usize,
    key: String,
    value: String,
}

struct Block {
    line: usize,
    shape: &'static SectionSchema,
    name: String,
    duplicate: bool,
    items: Vec<Item>,
}

/// Sections and mistakes of one file.
pub struct Document {
    blocks: Vec<Block>,
    last: usize,
    mistakes: RefCell<Vec<Mistake>>,
}

/// One section of a document.
#[derive(Clone, Copy)]
pub struct Section<'a> {
    document: &'a Document,
    block: &'a Block,
}

enum Statement {
    Header(String),
    Item(String, String),
}

impl Document {
    /// Reads the text and notes everything that does not fit the shapes.
    pub fn parse(text: &str, shapes: &'static [SectionSchema]) -> Document {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut document = Document {
            blocks: Vec::new(),
            last: text.lines().count().max(1),
            mistakes: RefCell::default(),
        };
        // Index of the block that takes the next item; `None` under an unknown header.
        let mut open = None;
        let mut headed = false;
        for (line, text) in (1..).zip(text.lines()) {
            match statement(text) {
                None => {}
                Some(Ok(Statement::Header(header))) => {
                    headed = true;
                    open = document.open(line, &header, shapes);
                }
                Some(Ok(Statement::Item(key, value))) => match open {
                    Some(index) => document.add(index, line, key, value),
                    None if headed => {}
                    None => document.report(
                        line,
                        Code::UnknownSection,
                        format!("`{key}` stands before the first section"),
                        "put it below a [section] line",
                    ),
                },
                Some(Err(())) => document.report(
                    line,
                    Code::Syntax,
                    "expected `[section]`, `key = value` or a comment".into(),
                    "comments stand on their own line and begin with # or ;",
                ),
            }
        }
        document
    }

    /// Notes a mistake.
    pub fn report(&self, line: usize, code: Code, detail: String, hint: &'static str) {
        self.mistakes.borrow_mut().push(Mistake {
            line,
            code,
            detail,
            hint,
        });
    }

    /// Section of a kind that has no name; notes its absence.
    pub fn require(&self, kind: &'static str) -> Option<Section<'_>> {
        let found = self.sections(kind).next();
        if found.is_none() {
            self.report_missing(format!("[{kind}]"));
        }
        found
    }

    /// Section of a kind and name; notes its absence.
    pub fn require_named(&self, kind: &'static str, name: &str) -> Option<Section<'_>> {
        let found = self.sections(kind).find(|section| section.name() == name);
        if found.is_none() {
            self.report_missing(format!("[{kind} {name}]"));
        }
        found
    }

    /// Sections of a kind, in the order of the text.
    pub fn sections(&self, kind: &'static str) -> impl Iterator<Item = Section<'_>> {
        let blocks = self.blocks.iter();
        let blocks = blocks.filter(move |block| block.shape.kind == kind && !block.duplicate);
        blocks.map(|block| Section {
            document: self,
            block,
        })
    }

    /// Notes that a section is missing, at the last line.
    pub fn report_missing(&self, section: String) {
        self.report(
            self.last,
            Code::MissingSetting,
            section,
            "add the section; `medlarctl defaults` prints a complete file",
        );
    }

    /// The value if there were no mistakes.
    ///
    /// # Errors
    ///
    /// Every mistake, by line.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Vec<Mistake>> {
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort_by_key(|mistake| mistake.line);
        value.filter(|_| mistakes.is_empty()).ok_or(mistakes)
    }

    fn open(
        &mut self,
        line: usize,
        header: &str,
        shapes: &'static [SectionSchema],
    ) -> Option<usize> {
        let mut words = header.split_whitespace();
        let kind = words.next().unwrap_or_default();
        let name = words.next().unwrap_or_default();
        let fits = |shape: &&SectionSchema| shape.kind == kind && shape.named != name.is_empty();
        let Some(shape) = shapes.iter().find(fits).filter(|_| words.next().is_none()) else {
            let detail = format!("[{header}]; known sections: {}", list_shapes(shapes));
            self.report(line, Code::UnknownSection, detail, "correct the name");
            return None;
        };
        let mut blocks = self.blocks.iter();
        let first = blocks.find(|block| block.shape.kind == kind && block.name == name);
        let duplicate = first.is_some();
        if let Some(first) = first {
            let detail = format!("[{header}] was first given in line {}", first.line);
            self.report(line, Code::Duplicate, detail, "keep one of them");
        }
        self.blocks.push(Block {
            line,
            shape,
            name: name.to_owned(),
            duplicate,
            items: Vec::new(),
        });
        Some(self.blocks.len() - 1)
    }

    fn add(&mut self, index: usize, line: usize, key: String, value: String) {
        let block = &self.blocks[index];
        let keys = block.shape.keys;
        if !keys.contains(&key.as_str()) {
            let known = keys.join(", ");
            let detail = format!("`{key}` in {}; known keys: {known}", block.header());
            return self.report(line, Code::UnknownKey, detail, "correct or remove the key");
        }
        if let Some(first) = block.items.iter().find(|item| item.key == key) {
            let detail = format!("`{key}` was first given in line {}", first.line);
            return self.report(line, Code::Duplicate, detail, "keep one of them");
        }
        self.blocks[index].items.push(Item { line, key, value });
    }
}

impl Block {
    fn header(&self) -> String {
        match self.shape.named {
            true => format!("[{} {}]", self.shape.kind, self.name),
            false => format!("[{}]", self.shape.kind),
        }
    }
}

impl<'a> Section<'a> {
    /// Second word of the header; empty for kinds that have none.
    pub fn name(&self) -> &'a str {
        &self.block.name
    }

    /// Line of the header.
    pub fn line(&self) -> usize {
        self.block.line
    }

    /// Line of the key, or of the header if the key is not given.
    pub fn line_of(&self, key: &str) -> usize {
        self.item(key).map_or(self.block.line, |item| item.line)
    }

    /// Whether the key is given.
    pub fn has(&self, key: &str) -> bool {
        self.item(key).is_some()
    }

    /// Value of a key that must be given; notes its absence or a bad value.
    pub fn require<T>(
        &self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        if !self.has(key) {
            self.document.report(
                self.block.line,
                Code::MissingSetting,
                format!("`{key}` in {}", self.block.header()),
                "add the key; `medlarctl defaults` prints a complete file",
            );
        }
        self.value(key, read)
    }

    /// Value of a key, or the default if it is not given; notes a bad value.
    pub fn or<T>(
        &self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, ValueError>,
        default: T,
    ) -> Option<T> {
        match self.has(key) {
            true => self.value(key, read),
            false => Some(default),
        }
    }

    /// Notes a mistake in the line of the key.
    pub fn report(&self, key: &str, code: Code, detail: String, hint: &'static str) {
        self.document.report(self.line_of(key), code, detail, hint);
    }

    /// The section's name as a checked name; notes a bad one.
    pub fn checked_name(&self) -> Option<String> {
        let noted = |flaw: ValueError| {
            let detail = format!("{}: expected {}", self.block.header(), flaw.expected);
            self.document
                .report(self.line(), flaw.code, detail, flaw.hint);
        };
        value::name(self.name()).map_err(noted).ok()
    }

    fn value<T>(&self, key: &str, read: impl Fn(&str) -> Result<T, ValueError>) -> Option<T> {
        let item = self.item(key)?;
        let noted = |flaw: ValueError| {
            let shown = if flaw.secret { "(hidden)" } else { &item.value };
            let detail = format!("`{key} = {shown}`: expected {}", flaw.expected);
            self.document
                .report(item.line, flaw.code, detail, flaw.hint);
        };
        read(&item.value).map_err(noted).ok()
    }

    fn item(&self, key: &str) -> Option<&'a Item> {
        self.block.items.iter().find(|item| item.key == key)
    }
}

fn list_shapes(shapes: &[SectionSchema]) -> String {
    let header = |shape: &SectionSchema| match shape.named {
        true => format!("[{} NAME]", shape.kind),
        false => format!("[{}]", shape.kind),
    };
    shapes.iter().map(header).collect::<Vec<_>>().join(", ")
}

/// Statement of one line; `None` for blank lines and comments.
fn statement(line: &str) -> Option<Result<Statement, ()>> {
    let line = line.trim();
    if line.is_empty() || line.starts_with(['#', ';']) {
        return None;
    }
    // Quotes and backslashes have no special meaning, so that a value is
    // exactly what the line shows.
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let parsed = Ini::load_from_str_opt(line, option).map_err(|_| ());
    Some(parsed.and_then(|ini| single(&ini, line)))
}

/// The one statement that a parsed line consists of.
fn single(ini: &Ini, line: &str) -> Result<Statement, ()> {
    let mut sections = ini
        .iter()
        .filter(|(name, items)| name.is_some() || !items.is_empty());
    let (name, items) = sections.next().ok_or(())?;
    let mut items = items.iter();
    let statement = match (name, items.next()) {
        (Some(name), None) if line.ends_with(']') => Statement::Header(name.to_owned()),
        (None, Some((key, value))) => Statement::Item(key.to_owned(), value.trim().to_owned()),
        _ => return Err(()),
    };
    match (items.next(), sections.next()) {
        (None, None) => Ok(statement),
        _ => Err(()),
    }
}
