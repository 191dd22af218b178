package org.banyanstile.server.endpoint;

/**
 * Load that an engine reports, with a lag.
 *
 * @param active number of running requests
 * @param capacity number of requests that it can run
 * @param kvPiecesUsed pieces of KV memory in use
 * @param kvPieces pieces of KV memory
 * @param cold whether it is in cold start
 * @param ageMillis age of the report
 * @author banyanstile contributors
 */
public record EngineLoad(int active, int capacity, int kvPiecesUsed, int kvPieces, boolean cold, long ageMillis) {

}
