//! Arguments of the form `--name value`.

pub struct Args(pub Vec<String>);

impl Args {
    pub fn get(&self, name: &str) -> Option<String> {
        let flag = format!("--{name}");
        let at = self.0.iter().position(|a| *a == flag)?;
        self.0.get(at + 1).cloned()
    }

    pub fn text(&self, name: &str) -> String {
        self.get(name)
            .unwrap_or_else(|| panic!("--{name} is missing"))
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().expect("a number")
    }
}
