package org.banyanstile.emulator.process;

/**
 * A running stand-in.
 *
 * @param address address as {@code ip:port}
 * @param process the process
 * @author banyanstile contributors
 */
public record Node(String address, ChildProcess process) {

}
