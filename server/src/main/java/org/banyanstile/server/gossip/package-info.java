/**
 * Gossip between VMs by datagrams: membership, changed rows, loads and token use.
 */
@NullMarked
package org.banyanstile.server.gossip;

import org.jspecify.annotations.NullMarked;
