package org.fescueloom.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates configuration documents. */
public final class ConfigurationChecker {
    /** The maximum target time of a service class, in milliseconds. */
    public static final long MAX_TARGET_MILLIS = 3_600_000L;

    /** The maximum value of the body size limit of a service class, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    /** The maximum priority of a service class. */
    public static final int MAX_PRIORITY = 1_000;

    /** The maximum number of blocks in a guaranteed shape, and of accelerators in a block. */
    public static final int MAX_SHAPE_SIZE = 1_024;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String ALLOWED_NAMES =
            "1 to 64 letters, digits, dots, hyphens or underscores, starting with a letter or"
                    + " digit";

    /** The tolerance for rounding errors in the sum of the shares. */
    private static final double SHARE_TOLERANCE = 1e-9;

    private final List<ConfigurationFault> faults = new ArrayList<>();

    private ConfigurationChecker() {}

    /**
     * Finds every fault of a document.
     *
     * <p>This method does not check whether the guaranteed shapes fit on the workers.
     *
     * @param document the document, not null
     * @return the faults in document order; empty if there are none
     */
    public static List<ConfigurationFault> check(ConfigurationDocument document) {
        Objects.requireNonNull(document, "document");
        ConfigurationChecker checker = new ConfigurationChecker();
        checker.checkClasses(document.classes());
        checker.checkCustomers(document.customers());
        checker.checkZones(document.zones());
        return List.copyOf(checker.faults);
    }

    private void checkClasses(List<ServiceClass> classes) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            String path = "classes[" + i + "]";
            ServiceClass c = classes.get(i);
            checkName(path + ".name", c.name(), names);
            checkRange(path + ".targetMillis", c.targetMillis(), 1, MAX_TARGET_MILLIS);
            checkRange(path + ".priority", c.priority(), 0, MAX_PRIORITY);
            checkRange(path + ".maxBodyBytes", c.maxBodyBytes(), 0, MAX_BODY_BYTES);
        }
    }

    private void checkCustomers(List<CustomerPolicy> customers) {
        Set<String> names = new HashSet<>();
        double sum = 0;
        for (int i = 0; i < customers.size(); i++) {
            String path = "customers[" + i + "]";
            CustomerPolicy c = customers.get(i);
            checkName(path + ".name", c.name(), names);
            double share = c.guaranteedShare();
            // The negated condition also finds NaN.
            if (!(share >= 0 && share <= 1)) {
                add(path + ".guaranteedShare", share, "a number from 0 to 1");
            } else {
                sum += share;
            }
            checkShapes(path + ".guaranteedShapes", c.guaranteedShapes());
        }
        if (sum > 1 + SHARE_TOLERANCE) {
            add("customers[*].guaranteedShare", sum, "a sum of at most 1");
        }
    }

    private void checkShapes(String path, List<GuaranteedShape> shapes) {
        for (int i = 0; i < shapes.size(); i++) {
            String shape = path + "[" + i + "]";
            checkRange(shape + ".blocks", shapes.get(i).blocks(), 1, MAX_SHAPE_SIZE);
            checkRange(shape + ".accelerators", shapes.get(i).accelerators(), 1, MAX_SHAPE_SIZE);
        }
    }

    private void checkZones(List<Zone> zones) {
        Set<String> names = new HashSet<>();
        Set<String> racks = new HashSet<>();
        for (int i = 0; i < zones.size(); i++) {
            String path = "zones[" + i + "]";
            Zone z = zones.get(i);
            checkName(path + ".name", z.name(), names);
            // Several zones may have the same region.
            checkName(path + ".region", z.region(), new HashSet<>());
            for (int j = 0; j < z.racks().size(); j++) {
                checkName(path + ".racks[" + j + "]", z.racks().get(j), racks);
            }
        }
    }

    private void checkName(String path, String name, Set<String> used) {
        if (!NAME.matcher(name).matches()) {
            add(path, name, ALLOWED_NAMES);
        } else if (!used.add(name)) {
            add(path, name, "a name that is not used twice");
        }
    }

    private void checkRange(String path, long value, long min, long max) {
        if (value < min || value > max) {
            add(path, value, "from " + min + " to " + max);
        }
    }

    private void add(String path, Object value, String allowed) {
        faults.add(new ConfigurationFault(path, String.valueOf(value), allowed));
    }
}
