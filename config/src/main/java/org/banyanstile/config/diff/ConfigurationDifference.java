package org.banyanstile.config.diff;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.banyanstile.config.FleetConfiguration;

/**
 * Computes the changes between two versions of the configuration. Members of lists are
 * matched by their identity, so a different order is not a change. Salts and hashes are
 * shortened.
 *
 * @author banyanstile contributors
 */
public final class ConfigurationDifference {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final List<String> BY_NAME = List.of("name");

	/**
	 * Fields that identify the members of each list.
	 */
	private static final Map<String, List<String>> IDENTITY = Map.of("regions", BY_NAME, "dataCentres", BY_NAME,
			"endpoints", BY_NAME, "teams", BY_NAME, "keys", List.of("id"), "routes",
			List.of("service", "method", "path"));

	private static final Set<String> SECRETS = Set.of("salt", "hash");

	private static final int SHOWN_CHARS = 4;

	private final List<Change> changes = new ArrayList<>();

	private ConfigurationDifference() {
	}

	/**
	 * Returns the changes between two versions.
	 * @param before the earlier version
	 * @param after the later version
	 * @return the changes, empty if the versions differ at most in the order of lists
	 */
	public static List<Change> between(FleetConfiguration before, FleetConfiguration after) {
		ConfigurationDifference difference = new ConfigurationDifference();
		difference.compareObjects("$", MAPPER.valueToTree(before), MAPPER.valueToTree(after));
		return List.copyOf(difference.changes);
	}

	private void compareObjects(String path, JsonNode before, JsonNode after) {
		Set<String> names = new LinkedHashSet<>();
		before.fieldNames().forEachRemaining(names::add);
		after.fieldNames().forEachRemaining(names::add);
		for (String name : names) {
			compare(path + "." + name, name, before.path(name), after.path(name));
		}
	}

	private void compare(String path, String name, JsonNode before, JsonNode after) {
		if (before.equals(after)) {
			return;
		}
		if (IDENTITY.containsKey(name) && before.isArray() && after.isArray()) {
			compareLists(path, Objects.requireNonNull(IDENTITY.get(name)), before, after);
		}
		else if (before.isObject() && after.isObject()) {
			compareObjects(path, before, after);
		}
		else {
			add(path, redact(name, before), redact(name, after));
		}
	}

	private void compareLists(String path, List<String> identity, JsonNode before, JsonNode after) {
		Map<String, JsonNode> earlier = byIdentity(identity, before);
		Map<String, JsonNode> later = byIdentity(identity, after);
		Set<String> all = new LinkedHashSet<>(earlier.keySet());
		all.addAll(later.keySet());
		for (String member : all) {
			compare(path + "[?" + member + "]", "", earlier.getOrDefault(member, MissingNode.getInstance()),
					later.getOrDefault(member, MissingNode.getInstance()));
		}
	}

	private static Map<String, JsonNode> byIdentity(List<String> identity, JsonNode list) {
		Map<String, JsonNode> members = new LinkedHashMap<>();
		for (JsonNode member : list) {
			members.put(identity.stream()
				.map((field) -> "@." + field + "=='" + member.path(field).asText() + "'")
				.collect(Collectors.joining("&&")), member);
		}
		return members;
	}

	private void add(String path, JsonNode before, JsonNode after) {
		this.changes.add(new Change(type(before, after), path, before.isMissingNode() ? null : before.toString(),
				after.isMissingNode() ? null : after.toString()));
	}

	private static ChangeType type(JsonNode before, JsonNode after) {
		if (before.isMissingNode()) {
			return ChangeType.ADDED;
		}
		return after.isMissingNode() ? ChangeType.REMOVED : ChangeType.CHANGED;
	}

	private static JsonNode redact(String name, JsonNode value) {
		if (SECRETS.contains(name) && value.isTextual()) {
			String text = value.asText();
			return TextNode.valueOf(text.substring(0, Math.min(SHOWN_CHARS, text.length())) + "...");
		}
		if (!value.isObject()) {
			return value.isArray() ? redactList(value) : value;
		}
		ObjectNode copy = MAPPER.createObjectNode();
		value.properties().forEach((field) -> copy.set(field.getKey(), redact(field.getKey(), field.getValue())));
		return copy;
	}

	private static JsonNode redactList(JsonNode list) {
		ArrayNode copy = MAPPER.createArrayNode();
		list.forEach((member) -> copy.add(redact("", member)));
		return copy;
	}

}
