package org.banyanstile.core.scheduling;

import org.jspecify.annotations.Nullable;

/**
 * Placement that a VM uses, as the VM repeats it to a scheduler.
 *
 * @param requestId id of the request
 * @param engine id of the decode engine
 * @param prefillEngine id of the engine that is prefilling the prompt, {@code null} if
 * the prompt is prefilled or the decode engine prefills it
 * @param promptTokens tokens of the prompt
 * @param tokens tokens of the prompt and of the expected output
 * @param ageMillis time since the placement
 * @author banyanstile contributors
 */
public record Holding(String requestId, String engine, @Nullable String prefillEngine, long promptTokens, long tokens,
		long ageMillis) {

}
