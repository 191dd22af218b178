package org.banyanstile.tools;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * {@code trace}: prints the log lines of all VMs about one request, ordered by time.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "print the log lines about a request, ordered by time")
final class TraceCommand extends Command {

	private final ObjectMapper mapper = new ObjectMapper();

	@Parameter(description = "<request id> <log file>...", required = true)
	private List<String> arguments = new ArrayList<>();

	@Override
	ExitCode run(Console console) throws CommandException {
		if (this.arguments.size() < 2) {
			throw new UsageException("trace needs a request id and at least one log file, - for standard input");
		}
		String id = this.arguments.get(0);
		List<Line> lines = new ArrayList<>();
		for (String file : this.arguments.subList(1, this.arguments.size())) {
			Files.read(console, file).lines().forEach((line) -> add(lines, id, line));
		}
		if (lines.isEmpty()) {
			throw new RefusedException(
					"no log line about request " + id + "; lines beyond the limit per second are not logged");
		}
		lines.sort(Comparator.comparing(Line::time));
		console.print(lines, Files.lines(lines));
		return ExitCode.DONE;
	}

	// A log collector may have written the name of the VM before the JSON object.
	private void add(List<Line> lines, String id, String line) {
		int brace = line.indexOf('{');
		if (brace < 0 || !line.contains(id)) {
			return;
		}
		try {
			JsonNode event = this.mapper.readTree(line.substring(brace));
			JsonNode message = event.path("message");
			if (message.path("request").asText().equals(id)) {
				lines.add(new Line(event.path("time").asText(), line.substring(0, brace).strip(),
						message.path("event").asText(), fields(message)));
			}
		}
		catch (JsonProcessingException ex) {
			// Lines of other programs in the same file are not events.
		}
	}

	private static Map<String, String> fields(JsonNode message) {
		Map<String, String> fields = new TreeMap<>();
		Iterator<Map.Entry<String, JsonNode>> all = message.fields();
		while (all.hasNext()) {
			Map.Entry<String, JsonNode> field = all.next();
			if (!field.getKey().equals("event") && !field.getKey().equals("request")) {
				fields.put(field.getKey(), field.getValue().asText());
			}
		}
		return fields;
	}

	/**
	 * Log line of a VM about the request.
	 *
	 * @param time wall-clock time of the VM
	 * @param source text before the JSON object in the file
	 * @param event name of the event
	 * @param fields other fields: inputs and outcome of the decision
	 * @author banyanstile contributors
	 */
	private record Line(String time, String source, String event, Map<String, String> fields) {

		@Override
		public String toString() {
			return (this.time + "  " + this.source + "  " + this.event + "  " + this.fields).replaceAll(" {3,}", "  ");
		}

	}

}
