package org.gooseberrypier.http;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;

/**
 * A socket address as a literal IP address and a port; host names are not accepted and never resolved.
 *
 * @param host a literal IPv4 or IPv6 address, without brackets
 * @param port the port from 0 to 65535; 0 lets the operating system choose one when listening
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Checks that the host is a literal IP address and the port is in range.
     *
     * @throws IllegalArgumentException if one of them is not valid
     */
    public HostPort {
        if (!NetUtil.isValidIpV4Address(host) && !NetUtil.isValidIpV6Address(host)) {
            throw new IllegalArgumentException("not an IP number: " + host);
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("not a port: " + port);
        }
    }

    /**
     * Parses {@code 10.0.0.1:8080} or {@code [::1]:8080}.
     *
     * @param text the address in text form
     * @return the address
     * @throws IllegalArgumentException if the text is not a literal IP address followed by a colon and a port
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not IP:port: " + text);
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        try {
            return new HostPort(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not IP:port: " + text, e);
        }
    }

    /**
     * Converts this address for use with sockets, without a name lookup.
     *
     * @return the socket address
     */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(NetUtil.createInetAddressFromIpAddressString(host), port);
    }

    @Override
    public String toString() {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }
}
