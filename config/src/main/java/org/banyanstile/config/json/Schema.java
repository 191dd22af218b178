package org.banyanstile.config.json;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;

/**
 * A JSON schema from the resources. Its {@code description} fields state what is allowed
 * and are quoted in each problem.
 *
 * @author banyanstile contributors
 */
final class Schema {

	private final JsonNode root;

	private final JsonSchema schema;

	private Schema(JsonNode root) {
		this.root = root;
		SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
			.pathType(PathType.JSON_PATH)
			.locale(Locale.ENGLISH)
			.build();
		this.schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(root, config);
	}

	static Schema load(String resource) {
		try (InputStream in = Objects.requireNonNull(Schema.class.getResourceAsStream(resource), resource)) {
			return new Schema(new ObjectMapper().readTree(in));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	List<Problem> validate(String file, JsonNode document) {
		return this.schema.validate(document).stream().map((message) -> problem(file, message)).toList();
	}

	private Problem problem(String file, ValidationMessage message) {
		String path = message.getInstanceLocation().toString();
		return switch (message.getType()) {
			case "additionalProperties" -> new Problem(file, path + "." + message.getProperty(), "unknown key",
					"allowed keys are " + keys(message));
			case "required" -> new Problem(file, path + "." + message.getProperty(), "missing", "this key is required");
			default -> new Problem(file, path, Values.print(path, message.getInstanceNode()), allowed(message));
		};
	}

	private List<String> keys(ValidationMessage message) {
		JsonNode properties = parent(message).path("properties");
		return properties.properties().stream().map((entry) -> entry.getKey()).toList();
	}

	private String allowed(ValidationMessage message) {
		JsonNode parent = parent(message);
		String fallback = "object".equals(parent.path("type").asText()) ? "must be an object" : message.getError();
		return parent.path("description").asText(fallback);
	}

	/**
	 * Returns the part of the schema that contains the keyword that failed.
	 * @param message the failure
	 * @return the part of the schema
	 */
	private JsonNode parent(ValidationMessage message) {
		JsonPointer keyword = JsonPointer.compile(message.getSchemaLocation().getFragment().toString());
		return this.root.at(keyword.head());
	}

}
