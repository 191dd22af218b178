package org.banyanstile.server.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.server.caller.RunningStreams;
import org.banyanstile.server.caller.StreamKey;
import org.banyanstile.server.caller.StreamLocation;
import org.banyanstile.server.caller.TakeoverResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link FleetStreamDirectory} with three connected VMs.
 *
 * @author banyanstile contributors
 */
class FleetStreamDirectoryTests {

	private static final StreamKey KEY = new StreamKey(TeamId.of("team-1"), "aa");

	private static final StreamLocation LOCATION = new StreamLocation("r1", EndpointId.of("d-1"), "body");

	private final TestFleet fleet = new TestFleet();

	private final TestFleet.Node owner = add("vm-1");

	private final TestFleet.Node a = add("vm-2");

	private final TestFleet.Node b = add("vm-3");

	private final FleetStreamDirectory atOwner = directory(this.owner);

	private final FleetStreamDirectory atA = directory(this.a);

	private final FleetStreamDirectory atB = directory(this.b);

	@BeforeEach
	void start() throws Exception {
		this.fleet.setOwner(Partitions.request(KEY), this.owner);
		this.fleet.connect();
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private TestFleet.Node add(String name) {
		try {
			return this.fleet.add(name);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static FleetStreamDirectory directory(TestFleet.Node node) {
		return FleetStreamDirectory.create(node, Messenger.over(node.peers), new RunningStreams(), node.handlers);
	}

	/**
	 * Waits until the owner has handled all earlier messages of a VM: a lookup follows
	 * them on the same connection.
	 * @param directory directory of the VM
	 */
	private static void awaitHandled(FleetStreamDirectory directory) {
		assertThat(directory.takeOver(KEY, "body"), is(new TakeoverResult.NotRunning()));
	}

	/**
	 * Guards against a request that runs twice when the repeated request reaches another
	 * VM.
	 */
	@Test
	void findsAStreamWhoseVmNoLongerServesIt() {
		assertThat(this.atA.takeOver(KEY, "body"), is(new TakeoverResult.NotRunning()));
		this.atA.announce(KEY, LOCATION);
		awaitHandled(this.atA);
		assertThat(this.atOwner.takeOver(KEY, "other"), is(new TakeoverResult.OtherBody()));
		this.a.peers.close();
		TestFleet.await(() -> !this.b.peers.connected().contains(this.a.vm));
		assertThat(this.atB.takeOver(KEY, "body"), is(new TakeoverResult.Taken(LOCATION)));
	}

	@Test
	void removesAWithdrawnStream() {
		this.atA.takeOver(KEY, "body");
		this.atA.announce(KEY, LOCATION);
		this.atA.withdraw(KEY);
		TestFleet.await(() -> this.atB.takeOver(KEY, "other") instanceof TakeoverResult.NotRunning);
	}

	/**
	 * Guards against a new owner that does not learn of the running streams.
	 */
	@Test
	void announcesStreamsToANewOwner() {
		this.atA.announce(KEY, LOCATION);
		this.fleet.setOwner(Partitions.request(KEY), this.b);
		this.atA.announceAgain();
		awaitHandled(this.atA);
		assertThat(this.atOwner.takeOver(KEY, "other"), is(new TakeoverResult.OtherBody()));
	}

	@Test
	void doesNotTakeOverWithoutAnOwner() {
		this.atA.announce(KEY, LOCATION);
		this.fleet.setOwner(Partitions.request(KEY), null);
		assertThat(this.atB.takeOver(KEY, "body"), is(new TakeoverResult.NotRunning()));
	}

}
