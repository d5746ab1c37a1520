package org.gooseberrypier.ticket;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Collects the first {@link #MAX_PROBLEMS} problems of a ticket, with the checks that several sections share. */
final class ProblemList {

    private static final int MAX_PROBLEMS = 20;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_ADDRESS_LENGTH = 64;
    private static final int MAX_SHOWN_LENGTH = 80;
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_BYTE = 255;
    private static final int IP_V4_PARTS = 4;
    private static final Pattern IP_V6 = Pattern.compile("[0-9A-Fa-f:.]{2,45}");

    private final List<TicketProblem> problems = new ArrayList<>();

    List<TicketProblem> toList() {
        return List.copyOf(problems);
    }

    void add(String path, String message) {
        if (problems.size() < MAX_PROBLEMS) {
            problems.add(new TicketProblem(path, message));
        }
    }

    void checkName(String path, String name) {
        if (!isName(name)) {
            add(path, show(name) + " is not a name: 1 to 64 of A-Z a-z 0-9 . _ -, the first a letter or digit");
        }
    }

    void checkText(String path, String text, int maxLength) {
        int length = text.codePointCount(0, text.length());
        if (length < 1 || length > maxLength) {
            add(path, length + " characters, allowed are 1 to " + maxLength);
        }
    }

    void checkRange(String path, long value, long min, long max) {
        if (value < min || value > max) {
            add(path, value + " is out of range, allowed are " + min + " to " + max);
        }
    }

    void checkSize(String path, int size, int min, int max) {
        if (size < min || size > max) {
            add(path, size + " items, allowed are " + min + " to " + max);
        }
    }

    void checkAddress(String path, String address) {
        int colon = address.lastIndexOf(':');
        boolean valid = colon > 0
                && address.length() <= MAX_ADDRESS_LENGTH
                && isPort(address.substring(colon + 1))
                && isHost(address.substring(0, colon));
        if (!valid) {
            add(path, show(address) + " is not IP:port, as in 10.0.0.1:8080 or [fd00::1]:8080, port 1 to 65535");
        }
    }

    void checkUnique(String path, String what, String value, Set<String> seen) {
        if (!seen.add(value)) {
            add(path, show(value) + " is there twice, each " + what + " must be unique");
        }
    }

    static Set<String> newValueSet() {
        return new HashSet<>();
    }

    private static boolean isHost(String host) {
        if (host.startsWith("[") && host.endsWith("]")) {
            String inner = host.substring(1, host.length() - 1);
            return inner.indexOf(':') >= 0 && IP_V6.matcher(inner).matches();
        }
        return isIpV4(host);
    }

    private static boolean isName(String name) {
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH || !isLetterOrDigit(name.charAt(0))) {
            return false;
        }
        for (int i = 1; i < name.length(); i++) {
            char c = name.charAt(i);
            if (!isLetterOrDigit(c) && c != '.' && c != '_' && c != '-') {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c);
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isIpV4(String host) {
        int parts = 1;
        int digits = 0;
        int part = 0;
        for (int i = 0; i < host.length(); i++) {
            char c = host.charAt(i);
            if (isDigit(c)) {
                digits++;
                part = part * 10 + c - '0';
            } else if (c == '.' && digits > 0) {
                parts++;
                digits = 0;
                part = 0;
            } else {
                return false;
            }
            if (digits > 3 || part > MAX_BYTE) {
                return false;
            }
        }
        return parts == IP_V4_PARTS && digits > 0;
    }

    private static boolean isPort(String port) {
        if (port.isEmpty() || port.length() > 5 || !port.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return false;
        }
        int number = Integer.parseInt(port);
        return number >= 1 && number <= MAX_PORT;
    }

    private static String show(String value) {
        String shown = value.length() <= MAX_SHOWN_LENGTH ? value : value.substring(0, MAX_SHOWN_LENGTH) + "...";
        return '"' + shown.replace("\n", "\\n").replace("\"", "\\\"") + '"';
    }
}
