package org.banyanstile.tools;

import com.beust.jcommander.Parameters;

/**
 * First word of a two-word command.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "group of commands; see its --help")
final class CommandGroup extends CommonOptions {

}
