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
 * {@code trace}: prints what all VMs logged on one request, in the order of time.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "print what log files say of a request, in order")
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
					"no line on request " + id + "; lines beyond the budget of a second are left out");
		}
		lines.sort(Comparator.comparing(Line::time));
		console.print(lines, Files.lines(lines));
		return ExitCode.DONE;
	}

	// A collector may have put the name of the VM before the JSON object.
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
			// Other programs may write to the same file; their lines are no events.
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
	 * What a VM logged on the request.
	 *
	 * @param time time of day of the VM
	 * @param source what stands before the event in the file
	 * @param event what was decided
	 * @param fields inputs and outcome
	 * @author banyanstile contributors
	 */
	private record Line(String time, String source, String event, Map<String, String> fields) {

		@Override
		public String toString() {
			return (this.time + "  " + this.source + "  " + this.event + "  " + this.fields).replaceAll(" {3,}", "  ");
		}

	}

}
