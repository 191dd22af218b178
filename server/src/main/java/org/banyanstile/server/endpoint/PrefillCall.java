package org.banyanstile.server.endpoint;

/**
 * Parameters of a prefill.
 *
 * @param requestId identifier of the request
 * @param model name of the model
 * @param prompt the prompt
 * @param priority priority; a higher value is more urgent
 * @author banyanstile contributors
 */
public record PrefillCall(String requestId, String model, String prompt, int priority) {

}
