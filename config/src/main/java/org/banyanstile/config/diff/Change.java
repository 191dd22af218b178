package org.banyanstile.config.diff;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * One change between two versions of the configuration.
 *
 * @param type kind of the change
 * @param path JSON path of the value, which names list members by their identity, for
 * example {@code $.teams[?@.name=='t'].weight}
 * @param before the earlier value as JSON, {@code null} if it was added
 * @param after the later value as JSON, {@code null} if it was removed
 * @author banyanstile contributors
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Change(ChangeType type, String path, @Nullable String before, @Nullable String after) {

	@Override
	public String toString() {
		return switch (this.type) {
			case ADDED -> "+ " + this.path + ": " + this.after;
			case REMOVED -> "- " + this.path + ": " + this.before;
			case CHANGED -> "~ " + this.path + ": " + this.before + " -> " + this.after;
		};
	}

}
