//! The JSON that the daemons send to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses JSON; what can't be read is null.
pub fn parse(text: &[u8]) -> Json {
    let text: Vec<char> = String::from_utf8_lossy(text).chars().collect();
    Parser { text, at: 0 }.value()
}

struct Parser {
    text: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> char {
        while self.text.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.text.get(self.at).copied().unwrap_or('\0')
    }

    fn next(&mut self) -> char {
        let next = self.peek();
        self.at += 1;
        next
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            '{' => {
                let mut fields = BTreeMap::new();
                self.next();
                while self.peek() == '"' {
                    let name = self.string();
                    self.next();
                    fields.insert(name, self.value());
                    if self.peek() == ',' {
                        self.next();
                    }
                }
                self.next();
                Json::Object(fields)
            }
            '[' => {
                let mut list = Vec::new();
                self.next();
                while !matches!(self.peek(), ']' | '\0') {
                    list.push(self.value());
                    if self.peek() == ',' {
                        self.next();
                    }
                }
                self.next();
                Json::List(list)
            }
            '"' => Json::Text(self.string()),
            _ => {
                let mut word = String::new();
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c))
                {
                    word.push(self.text[self.at]);
                    self.at += 1;
                }
                if word.is_empty() {
                    self.at += 1;
                }
                word.parse().map_or(Json::Null, Json::Number)
            }
        }
    }

    fn string(&mut self) -> String {
        let mut text = String::new();
        self.next();
        while let Some(&c) = self.text.get(self.at) {
            self.at += 1;
            match c {
                '"' => break,
                '\\' => {
                    let escaped = self.text.get(self.at).copied().unwrap_or('\\');
                    self.at += 1;
                    text.push(match escaped {
                        'n' => '\n',
                        't' => '\t',
                        other => other,
                    });
                }
                c => text.push(c),
            }
        }
        text
    }
}

/// Returns a text as JSON.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}
