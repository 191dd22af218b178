package org.banyanstile.server.view;

/**
 * Row that names the owner of role changes.
 *
 * @param version version of the row, 0 if it does not exist
 * @param owner name of the VM that wrote it last
 * @author banyanstile contributors
 */
public record RoleChangeOwnerRow(long version, String owner) {

}
