package org.fescueloom.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;

/**
 * Holds everything that operators steer the system by.
 *
 * @param classes the classes of work; null counts as none
 * @param customers the customers; null counts as none
 * @param zones the availability zones; null counts as none
 */
public record ConfigurationDocument(
        List<ServiceClass> classes, List<CustomerPolicy> customers, List<Zone> zones) {
    /** The document that holds before an operator has published one. */
    public static final ConfigurationDocument EMPTY = new ConfigurationDocument(null, null, null);

    /** Copies the lists. */
    public ConfigurationDocument {
        classes = classes == null ? List.of() : List.copyOf(classes);
        customers = customers == null ? List.of() : List.copyOf(customers);
        zones = zones == null ? List.of() : List.copyOf(zones);
    }

    /**
     * Finds a class by its name.
     *
     * @param name the name, may be null
     * @return the class, or empty if there is none of this name
     */
    @JsonIgnore
    public Optional<ServiceClass> serviceClass(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Finds a customer by its name.
     *
     * @param name the name, may be null
     * @return the customer, or empty if there is none of this name
     */
    @JsonIgnore
    public Optional<CustomerPolicy> customer(String name) {
        return customers.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Finds an availability zone by its name.
     *
     * @param name the name, may be null
     * @return the zone, or empty if there is none of this name
     */
    @JsonIgnore
    public Optional<Zone> zone(String name) {
        return zones.stream().filter(z -> z.name().equals(name)).findFirst();
    }

    /**
     * Returns this document with another state of one zone.
     *
     * @param name the name of the zone; an unknown one changes nothing
     * @param state the new state, not null
     * @return the document, never null
     */
    public ConfigurationDocument withZoneState(String name, ZoneState state) {
        List<Zone> changed =
                zones.stream().map(z -> z.name().equals(name) ? z.withState(state) : z).toList();
        return new ConfigurationDocument(classes, customers, changed);
    }
}
