package org.banyanstile.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import org.banyanstile.config.IpPort;
import org.jspecify.annotations.Nullable;

/**
 * Options of the commands that talk to daemons.
 *
 * @author banyanstile contributors
 */
final class VmOptions {

	/**
	 * Environment variable with the bearer token. A token on the command line would be
	 * visible to each user of the machine.
	 */
	static final String TOKEN_VARIABLE = "BANYANSTILE_TOKEN";

	@Parameter(names = "--vm", required = true,
			description = "operator address of a VM as <ip:port>; repeatable, the next one is used if one is down")
	private List<String> vms = new ArrayList<>();

	@Parameter(names = "--token-file",
			description = "file with the operators' bearer token; default: variable " + TOKEN_VARIABLE)
	private @Nullable String tokenFile;

	HttpOperatorApi connect(Console console) throws UsageException {
		for (String vm : this.vms) {
			if (IpPort.parse(vm).isEmpty()) {
				throw new UsageException("--vm: " + vm + " is not an IP address and a port");
			}
		}
		return HttpOperatorApi.create(this.vms, token(console));
	}

	private String token(Console console) throws UsageException {
		String token = (this.tokenFile != null) ? Files.read(console, this.tokenFile) : System.getenv(TOKEN_VARIABLE);
		if (token == null || token.isBlank()) {
			throw new UsageException("no token: set " + TOKEN_VARIABLE + " or use --token-file");
		}
		return token.strip();
	}

}
