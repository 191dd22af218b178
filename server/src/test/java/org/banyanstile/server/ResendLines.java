package org.banyanstile.server;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.message.MapMessage;

/**
 * Log lines about resends that are written while this object is open.
 *
 * @author banyanstile contributors
 */
public final class ResendLines implements AutoCloseable {

	/**
	 * Fields of the lines.
	 */
	public final List<Map<String, String>> lines = new CopyOnWriteArrayList<>();

	private final LoggerContext context = (LoggerContext) LogManager.getContext(false);

	private final Appender appender = new Appender();

	/**
	 * Starts to record lines.
	 */
	public ResendLines() {
		this.appender.start();
		this.context.getConfiguration().getRootLogger().addAppender(this.appender, Level.INFO, null);
	}

	@Override
	public void close() {
		this.context.getConfiguration().getRootLogger().removeAppender(this.appender.getName());
	}

	/**
	 * Records the lines.
	 *
	 * @author banyanstile contributors
	 */
	private final class Appender extends AbstractAppender {

		Appender() {
			super("resend-lines", null, null, true, Property.EMPTY_ARRAY);
		}

		@Override
		public void append(LogEvent event) {
			if (event.getMessage() instanceof MapMessage<?, ?> message && "resend".equals(message.get("event"))) {
				Map<String, String> fields = new TreeMap<>();
				message.forEach((name, value) -> fields.put(name, String.valueOf(value)));
				ResendLines.this.lines.add(fields);
			}
		}

	}

}
