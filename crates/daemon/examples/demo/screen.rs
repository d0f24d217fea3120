//! Display of progress and results on the terminal.

use anyhow::Result;
use indicatif::{ProgressBar, ProgressStyle};

use crate::{
    arguments::Arguments,
    demo::{Progress, Summary},
};

/// Progress bar and output of a run.
pub struct Screen {
    bar: ProgressBar,
    json: bool,
}

impl Screen {
    /// Creates the progress bar, which is hidden with `--json`.
    pub fn new(arguments: &Arguments) -> Self {
        let bar = match arguments.json {
            true => ProgressBar::hidden(),
            false => ProgressBar::new(arguments.plan.length.as_millis() as u64),
        };
        let style = ProgressStyle::with_template("{bar:40} {elapsed} {msg}");
        if let Ok(style) = style {
            bar.set_style(style);
        }
        Self {
            bar,
            json: arguments.json,
        }
    }

    /// Displays the progress and the change that was just made.
    pub fn show(&self, progress: &Progress) {
        self.bar.set_position(progress.elapsed.as_millis() as u64);
        self.bar
            .set_message(format!("{} requests", progress.requests));
        let change = progress.change.iter().filter(|_| !self.json);
        for change in change {
            let line = format!("{:5.1} s  {change}", progress.elapsed.as_secs_f64());
            self.bar.suspend(|| println!("{line}"));
        }
    }

    /// Prints the results. The last line is JSON.
    pub fn finish(&self, summary: &Summary) -> Result<()> {
        self.bar.finish_and_clear();
        if !self.json {
            print!("{summary}");
        }
        println!("{}", serde_json::to_string(summary)?);
        Ok(())
    }
}
