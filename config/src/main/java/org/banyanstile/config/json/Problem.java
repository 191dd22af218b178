package org.banyanstile.config.json;

/**
 * One validation error or warning for a file.
 *
 * @param file name of the file or other source
 * @param path JSON path of the value, for example {@code $.teams[0].weight}
 * @param value the value as JSON, shortened, or {@code ***} for a secret
 * @param allowed what is allowed there
 * @author banyanstile contributors
 */
public record Problem(String file, String path, String value, String allowed) {

	@Override
	public String toString() {
		return this.file + ": " + this.path + ": " + this.value + ": " + this.allowed;
	}

}
