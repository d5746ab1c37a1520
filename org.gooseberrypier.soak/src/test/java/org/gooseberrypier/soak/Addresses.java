package org.gooseberrypier.soak;

import java.nio.charset.StandardCharsets;

import org.gooseberrypier.http.HostPort;

/**
 * The addresses of a run's parties. A party has its own address, and one of the proxy for each VM that may dial it, so that
 * the proxy knows both ends of a connection. All addresses of a party differ only in the last number and have the same
 * length, so that one can replace another within a message, and parties sort alike in every VM's view.
 *
 * @param network the second number of all addresses of the run
 */
record Addresses(int network) {

    static final int PEER_PORT = 21_000;
    static final int CALLER_PORT = 21_100;
    static final int READINESS_PORT = 21_200;
    static final int ENDPOINT_PORT = 22_000;
    static final int STORE_PORT = 23_000;

    /** The party numbers of endpoints begin here; those of VMs begin at 0. */
    static final int FIRST_ENDPOINT = 20;

    static final int STORE = 90;

    /** Stands for a reader that is no VM and sees every party at its own address. */
    static final int NO_VM = -1;

    private static final int FIRST_PARTY_NUMBER = 100;
    private static final int OWN_NUMBER = 100;
    private static final int FIRST_VIEW_NUMBER = 101;
    private static final int DIGITS = 3;

    /**
     * Returns the address of a party as a VM sees it.
     *
     * @param party the party
     * @param reader the VM that dials, or {@link #NO_VM}
     * @param port the port
     */
    HostPort of(int party, int reader, int port) {
        return new HostPort(prefix() + (FIRST_PARTY_NUMBER + party) + "." + lastNumber(party, reader), port);
    }

    /** Returns the address on which a party listens. */
    HostPort own(int party, int port) {
        return of(party, NO_VM, port);
    }

    private String prefix() {
        return "127." + network + ".";
    }

    private static int lastNumber(int party, int reader) {
        return reader == NO_VM || reader == party ? OWN_NUMBER : FIRST_VIEW_NUMBER + reader;
    }

    /** Returns the VM that dialled an address. */
    static int dialledBy(String address) {
        int dot = address.lastIndexOf('.');
        return Integer.parseInt(address.substring(dot + 1, dot + 1 + DIGITS)) - FIRST_VIEW_NUMBER;
    }

    /** Returns the party that an address belongs to. */
    int partyAt(String address) {
        int from = prefix().length();
        return Integer.parseInt(address.substring(from, from + DIGITS)) - FIRST_PARTY_NUMBER;
    }

    /** Returns a copy of the data in which every address of a party is the one that the reader sees. */
    byte[] translate(byte[] data, int reader) {
        byte[] prefix = prefix().getBytes(StandardCharsets.US_ASCII);
        int length = prefix.length + DIGITS + 1 + DIGITS;
        byte[] out = data.clone();
        for (int i = 0; i + length <= out.length; i++) {
            if (startsWith(out, i, prefix)) {
                int party = number(out, i + prefix.length) - FIRST_PARTY_NUMBER;
                byte[] last = Integer.toString(lastNumber(party, reader)).getBytes(StandardCharsets.US_ASCII);
                System.arraycopy(last, 0, out, i + length - DIGITS, DIGITS);
                i += length - 1;
            }
        }
        return out;
    }

    private static boolean startsWith(byte[] data, int from, byte[] prefix) {
        for (int i = 0; i < prefix.length; i++) {
            if (data[from + i] != prefix[i]) {
                return false;
            }
        }
        return true;
    }

    private static int number(byte[] data, int from) {
        return Integer.parseInt(new String(data, from, DIGITS, StandardCharsets.US_ASCII));
    }
}
