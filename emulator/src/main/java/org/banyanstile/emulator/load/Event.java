package org.banyanstile.emulator.load;

import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * A server-sent event.
 *
 * @param id the field {@code id}, or {@code null}
 * @param type the field {@code event}, or {@code message}
 * @param data the field {@code data}
 * @author banyanstile contributors
 */
public record Event(@Nullable String id, String type, String data) {

	private static final int MAX_LINE_BYTES = 1 << 20;

	/**
	 * Reads the next event.
	 * @param response the response
	 * @return the event, or {@code null} at the end of the response
	 * @throws HttpException if the connection broke or timed out
	 */
	public static @Nullable Event read(HttpResponse response) throws HttpException {
		String id = null;
		String type = "message";
		String data = "";
		boolean any = false;
		while (true) {
			String line = response.line(MAX_LINE_BYTES);
			if (line == null) {
				return null;
			}
			line = line.strip();
			if (line.isEmpty()) {
				if (any) {
					return new Event(id, type, data);
				}
				continue;
			}
			int colon = line.indexOf(':');
			String value = line.substring(colon + 1).strip();
			// Keep-alive comments have an empty field name.
			String field = line.substring(0, Math.max(colon, 0));
			if (field.equals("id")) {
				id = value;
			}
			else if (field.equals("event")) {
				type = value;
			}
			else if (field.equals("data")) {
				data = value;
				any = true;
			}
		}
	}

	/**
	 * Returns whether this event marks the end of the response.
	 * @return whether this is the end
	 */
	public boolean isDone() {
		return this.data.equals("[DONE]");
	}

}
