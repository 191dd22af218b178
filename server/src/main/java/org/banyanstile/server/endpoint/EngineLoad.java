package org.banyanstile.server.endpoint;

/**
 * Load as reported by an engine. The report may be out of date.
 *
 * @param active number of running requests
 * @param capacity number of requests that the engine can run at once
 * @param kvPiecesUsed pieces of KV cache memory in use
 * @param kvPieces total pieces of KV cache memory
 * @param cold whether the engine is in cold start
 * @param ageMillis age of the report
 * @author banyanstile contributors
 */
public record EngineLoad(int active, int capacity, int kvPiecesUsed, int kvPieces, boolean cold, long ageMillis) {

}
