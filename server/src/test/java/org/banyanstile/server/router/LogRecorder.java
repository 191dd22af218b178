package org.banyanstile.server.router;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/**
 * Records the lines of {@link DecisionLog} while a test runs.
 *
 * @author banyanstile contributors
 */
public final class LogRecorder implements AutoCloseable {

	private final List<String> lines = new CopyOnWriteArrayList<>();

	private final Logger logger = (Logger) LogManager.getLogger("decisions");

	private final Recording recording = new Recording();

	private LogRecorder() {
	}

	/**
	 * Starts a recording.
	 * @return the recorder
	 */
	public static LogRecorder start() {
		LogRecorder recorder = new LogRecorder();
		recorder.recording.start();
		recorder.logger.addAppender(recorder.recording);
		return recorder;
	}

	/**
	 * Returns the recorded lines that contain a text.
	 * @param text the text
	 * @return the lines
	 */
	public List<String> lines(String text) {
		return this.lines.stream().filter((line) -> line.contains(text)).toList();
	}

	@Override
	public void close() {
		this.logger.removeAppender(this.recording);
		this.recording.stop();
	}

	/**
	 * Appender that keeps the formatted messages.
	 *
	 * @author banyanstile contributors
	 */
	private final class Recording extends AbstractAppender {

		private Recording() {
			super("recording", null, null, false, Property.EMPTY_ARRAY);
		}

		@Override
		public void append(LogEvent event) {
			LogRecorder.this.lines.add(event.getMessage().getFormattedMessage());
		}

	}

}
