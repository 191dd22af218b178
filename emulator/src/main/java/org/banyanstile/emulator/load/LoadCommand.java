package org.banyanstile.emulator.load;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the load tool.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "call the deployment and verify each response")
public final class LoadCommand {

	@Parameter(names = "--vms", description = "caller addresses to ask for the list of VMs, separated by commas",
			required = true)
	private List<String> vms = new ArrayList<>();

	@Parameter(names = "--keys", description = "keys of the teams, separated by commas", required = true)
	private List<String> keys = new ArrayList<>();

	@Parameter(names = "--callers", description = "concurrent callers of each kind")
	private int callers = 8;

	@Parameter(names = "--requests", description = "number of generated texts")
	private int requests = 100;

	@Parameter(names = "--bookings", description = "number of bookings")
	private int bookings = 50;

	@Parameter(names = "--model", description = "model of the generated texts")
	private String model = "draft-writer";

	@Parameter(names = "--service", description = "service of the bookings")
	private String service = "order-desk";

	@Parameter(names = "--path", description = "path of the bookings")
	private String path = "/orders";

	@Parameter(names = "--prompt-words", description = "largest number of words of a prompt")
	private int promptWords = 200;

	@Parameter(names = "--max-tokens", description = "largest number of words of a response")
	private int maxTokens = 60;

	@Parameter(names = "--give-up-seconds", description = "time after which a request is no longer retried")
	private int giveUpSeconds = 60;

	@Parameter(names = "--silence-millis",
			description = "time without a byte after which a stream is resumed at another VM")
	private long silenceMillis = 4000;

	@Parameter(names = "--head-millis", description = "time without a response after which a call is retried")
	private long headMillis = 10000;

	@Parameter(names = "--seed", description = "seed of the prompts and of the choice of VMs")
	private long seed = 1;

	/**
	 * Returns options for a run that is not started from the command line.
	 * @param vms caller addresses to ask for the list of VMs
	 * @param keys keys of the teams
	 * @return the options
	 */
	public static LoadCommand of(List<String> vms, List<String> keys) {
		LoadCommand options = new LoadCommand();
		options.vms = List.copyOf(vms);
		options.keys = List.copyOf(keys);
		return options;
	}

	/**
	 * Sets the number of concurrent callers of each kind.
	 * @param number the number
	 * @return these options
	 */
	public LoadCommand withCallers(int number) {
		this.callers = number;
		return this;
	}

	/**
	 * Sets the number of generated texts.
	 * @param number the number
	 * @return these options
	 */
	public LoadCommand withRequests(int number) {
		this.requests = number;
		return this;
	}

	/**
	 * Sets the number of bookings.
	 * @param number the number
	 * @return these options
	 */
	public LoadCommand withBookings(int number) {
		this.bookings = number;
		return this;
	}

	/**
	 * Sets the largest number of words of a prompt.
	 * @param number the number
	 * @return these options
	 */
	public LoadCommand withPromptWords(int number) {
		this.promptWords = number;
		return this;
	}

	/**
	 * Sets the largest number of words of a response.
	 * @param number the number
	 * @return these options
	 */
	public LoadCommand withMaxTokens(int number) {
		this.maxTokens = number;
		return this;
	}

	List<String> vms() {
		return this.vms;
	}

	List<String> keys() {
		return this.keys;
	}

	int callers() {
		return this.callers;
	}

	int requests() {
		return this.requests;
	}

	int bookings() {
		return this.bookings;
	}

	String model() {
		return this.model;
	}

	String service() {
		return this.service;
	}

	String path() {
		return this.path;
	}

	int promptWords() {
		return this.promptWords;
	}

	int maxTokens() {
		return this.maxTokens;
	}

	int giveUpSeconds() {
		return this.giveUpSeconds;
	}

	long headMillis() {
		return this.headMillis;
	}

	long silenceMillis() {
		return this.silenceMillis;
	}

	long seed() {
		return this.seed;
	}

}
