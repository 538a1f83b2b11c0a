//! INI reader that reports every mistake with its line.
//!
//! rust-ini is used to parse single lines only. Given a whole file it keeps no
//! line numbers, stops at the first mistake, and treats a line without `=` as
//! the beginning of the next line's key. Sections and duplicates are therefore
//! tracked here, line by line.

use std::cell::RefCell;
use std::fmt;

use ini::{Ini, ParseOption};

use crate::code::Code;

pub mod value;

pub use value::ValueError;

/// A mistake in a preset or settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub code: Code,
    /// The offending text and what was expected.
    pub detail: String,
    /// How to correct it.
    pub hint: &'static str,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (number, text) = (self.code.number(), self.code.text());
        write!(f, "{}: code {number}: {text}: {}", self.line, self.detail)?;
        write!(f, " ({})", self.hint)
    }
}

/// Describes the sections of one kind that a file may contain.
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

struct RawSection {
    line: usize,
    schema: &'static SectionSchema,
    name: String,
    duplicate: bool,
    items: Vec<Item>,
}

/// Sections of one file, and the mistakes found so far.
pub struct Document {
    raw_sections: Vec<RawSection>,
    last_line: usize,
    mistakes: RefCell<Vec<Mistake>>,
}

/// One section of a document.
#[derive(Clone, Copy)]
pub struct Section<'a> {
    document: &'a Document,
    raw: &'a RawSection,
}

enum Statement {
    Header(String),
    Item(String, String),
}

impl Document {
    /// Parses the text and reports everything that does not fit the schemas.
    pub fn parse(text: &str, schemas: &'static [SectionSchema]) -> Document {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut document = Document {
            raw_sections: Vec::new(),
            last_line: text.lines().count().max(1),
            mistakes: RefCell::default(),
        };
        // Index of the section that receives items; `None` below an unknown header.
        let mut current = None;
        let mut seen_header = false;
        for (line, text) in (1..).zip(text.lines()) {
            match parse_line(text) {
                None => {}
                Some(Ok(Statement::Header(header))) => {
                    seen_header = true;
                    current = document.open_section(line, &header, schemas);
                }
                Some(Ok(Statement::Item(key, value))) => match current {
                    Some(index) => document.add_item(index, line, key, value),
                    None if seen_header => {}
                    None => document.report(
                        line,
                        Code::UnknownSection,
                        format!("`{key}` appears before the first section"),
                        "put it below a [section] line",
                    ),
                },
                Some(Err(())) => document.report(
                    line,
                    Code::Syntax,
                    "expected `[section]`, `key = value` or a comment".into(),
                    "put comments on their own line, beginning with # or ;",
                ),
            }
        }
        document
    }

    /// Records a mistake.
    pub fn report(&self, line: usize, code: Code, detail: String, hint: &'static str) {
        self.mistakes.borrow_mut().push(Mistake {
            line,
            code,
            detail,
            hint,
        });
    }

    /// Section of an unnamed kind; reports it if it is missing.
    pub fn require(&self, kind: &'static str) -> Option<Section<'_>> {
        let found = self.sections(kind).next();
        if found.is_none() {
            self.report_missing(format!("[{kind}]"));
        }
        found
    }

    /// Section of a kind with the given name; reports it if it is missing.
    pub fn require_named(&self, kind: &'static str, name: &str) -> Option<Section<'_>> {
        let found = self.sections(kind).find(|section| section.name() == name);
        if found.is_none() {
            self.report_missing(format!("[{kind} {name}]"));
        }
        found
    }

    /// Sections of a kind, in the order of the text and without duplicates.
    pub fn sections(&self, kind: &'static str) -> impl Iterator<Item = Section<'_>> {
        let raw_sections = self.raw_sections.iter();
        let raw_sections =
            raw_sections.filter(move |raw| raw.schema.kind == kind && !raw.duplicate);
        raw_sections.map(|raw| Section {
            document: self,
            raw,
        })
    }

    /// Reports a missing section, at the last line.
    pub fn report_missing(&self, section: String) {
        self.report(
            self.last_line,
            Code::MissingSetting,
            section,
            "add the section; `medlarctl defaults` prints a complete file",
        );
    }

    /// Returns the value if there were no mistakes.
    ///
    /// # Errors
    ///
    /// Every mistake, sorted by line.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Vec<Mistake>> {
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort_by_key(|mistake| mistake.line);
        value.filter(|_| mistakes.is_empty()).ok_or(mistakes)
    }

    fn open_section(
        &mut self,
        line: usize,
        header: &str,
        schemas: &'static [SectionSchema],
    ) -> Option<usize> {
        let mut words = header.split_whitespace();
        let kind = words.next().unwrap_or_default();
        let name = words.next().unwrap_or_default();
        let matches =
            |schema: &&SectionSchema| schema.kind == kind && schema.named != name.is_empty();
        let Some(schema) = schemas
            .iter()
            .find(matches)
            .filter(|_| words.next().is_none())
        else {
            let detail = format!("[{header}]; known sections: {}", list_sections(schemas));
            self.report(line, Code::UnknownSection, detail, "correct the name");
            return None;
        };
        let mut raw_sections = self.raw_sections.iter();
        let first = raw_sections.find(|raw| raw.schema.kind == kind && raw.name == name);
        let duplicate = first.is_some();
        if let Some(first) = first {
            let detail = format!("[{header}] was first given in line {}", first.line);
            self.report(line, Code::Duplicate, detail, "keep one of them");
        }
        self.raw_sections.push(RawSection {
            line,
            schema,
            name: name.to_owned(),
            duplicate,
            items: Vec::new(),
        });
        Some(self.raw_sections.len() - 1)
    }

    fn add_item(&mut self, index: usize, line: usize, key: String, value: String) {
        let raw = &self.raw_sections[index];
        let keys = raw.schema.keys;
        if !keys.contains(&key.as_str()) {
            let known = keys.join(", ");
            let detail = format!("`{key}` in {}; known keys: {known}", raw.header());
            return self.report(line, Code::UnknownKey, detail, "correct or remove the key");
        }
        if let Some(first) = raw.items.iter().find(|item| item.key == key) {
            let detail = format!("`{key}` was first given in line {}", first.line);
            return self.report(line, Code::Duplicate, detail, "keep one of them");
        }
        self.raw_sections[index]
            .items
            .push(Item { line, key, value });
    }
}

impl RawSection {
    fn header(&self) -> String {
        match self.schema.named {
            true => format!("[{} {}]", self.schema.kind, self.name),
            false => format!("[{}]", self.schema.kind),
        }
    }
}

impl<'a> Section<'a> {
    /// Second word of the header; empty for kinds that have none.
    pub fn name(&self) -> &'a str {
        &self.raw.name
    }

    /// Line of the header.
    pub fn line(&self) -> usize {
        self.raw.line
    }

    /// Line of the key, or of the header if the key is not given.
    pub fn line_of(&self, key: &str) -> usize {
        self.item(key).map_or(self.raw.line, |item| item.line)
    }

    /// Whether the key is given.
    pub fn has(&self, key: &str) -> bool {
        self.item(key).is_some()
    }

    /// Value of a required key; reports a missing or invalid value.
    pub fn require<T>(
        &self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, ValueError>,
    ) -> Option<T> {
        if !self.has(key) {
            self.document.report(
                self.raw.line,
                Code::MissingSetting,
                format!("`{key}` in {}", self.raw.header()),
                "add the key; `medlarctl defaults` prints a complete file",
            );
        }
        self.read_value(key, read)
    }

    /// Value of a key, or the default if it is not given; reports an invalid value.
    pub fn or<T>(
        &self,
        key: &'static str,
        read: impl Fn(&str) -> Result<T, ValueError>,
        default: T,
    ) -> Option<T> {
        match self.has(key) {
            true => self.read_value(key, read),
            false => Some(default),
        }
    }

    /// Records a mistake at the line of the key, or of the header if it is not given.
    pub fn report(&self, key: &str, code: Code, detail: String, hint: &'static str) {
        self.document.report(self.line_of(key), code, detail, hint);
    }

    /// Name of the section after validation; reports an invalid one.
    pub fn checked_name(&self) -> Option<String> {
        let report = |error: ValueError| {
            let detail = format!("{}: expected {}", self.raw.header(), error.expected);
            self.document
                .report(self.line(), error.code, detail, error.hint);
        };
        value::name(self.name()).map_err(report).ok()
    }

    fn read_value<T>(&self, key: &str, read: impl Fn(&str) -> Result<T, ValueError>) -> Option<T> {
        let item = self.item(key)?;
        let report = |error: ValueError| {
            let shown = if error.secret {
                "(hidden)"
            } else {
                &item.value
            };
            let detail = format!("`{key} = {shown}`: expected {}", error.expected);
            self.document
                .report(item.line, error.code, detail, error.hint);
        };
        read(&item.value).map_err(report).ok()
    }

    fn item(&self, key: &str) -> Option<&'a Item> {
        self.raw.items.iter().find(|item| item.key == key)
    }
}

fn list_sections(schemas: &[SectionSchema]) -> String {
    let header = |schema: &SectionSchema| match schema.named {
        true => format!("[{} NAME]", schema.kind),
        false => format!("[{}]", schema.kind),
    };
    schemas.iter().map(header).collect::<Vec<_>>().join(", ")
}

/// Parses the statement on one line; `None` for blank lines and comments.
fn parse_line(line: &str) -> Option<Result<Statement, ()>> {
    let line = line.trim();
    if line.is_empty() || line.starts_with(['#', ';']) {
        return None;
    }
    // Quotes and backslashes are read literally, so that a value is exactly what
    // the line shows.
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let parsed = Ini::load_from_str_opt(line, option).map_err(|_| ());
    Some(parsed.and_then(|ini| single_statement(&ini, line)))
}

/// Returns the only statement of a parsed line; more than one is an error.
fn single_statement(ini: &Ini, line: &str) -> Result<Statement, ()> {
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
