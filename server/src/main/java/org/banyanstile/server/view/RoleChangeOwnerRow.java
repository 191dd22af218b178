package org.banyanstile.server.view;

/**
 * Row that names the owner of role changes.
 *
 * @param version version of the row; that of a row that does not exist has the number 0
 * @param owner name of the VM that wrote it last, empty if it does not exist or was
 * written before the store returned from a copy, since a later write may be lost
 * @author banyanstile contributors
 */
public record RoleChangeOwnerRow(long version, String owner) {

}
