//! A reader of JSON that is sufficient for the answers of the control address.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str) -> Option<()> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes())
            .then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b'n' => self.word("null").map(|()| Json::Null),
            b't' => self.word("true").map(|()| Json::Bool(true)),
            b'f' => self.word("false").map(|()| Json::Bool(false)),
            _ => self.numeral(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }
}
