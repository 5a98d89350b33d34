package org.fescueloom.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Optional;

/**
 * Holds the configuration that operators publish.
 *
 * @param classes the service classes; null is treated as none
 * @param customers the customers; null is treated as none
 * @param zones the availability zones; null is treated as none
 */
public record ConfigurationDocument(
        List<ServiceClass> classes, List<CustomerPolicy> customers, List<Zone> zones) {
    /** The document that is in force before an operator has published one. */
    public static final ConfigurationDocument EMPTY = new ConfigurationDocument(null, null, null);

    /** Copies the lists. */
    public ConfigurationDocument {
        classes = classes == null ? List.of() : List.copyOf(classes);
        customers = customers == null ? List.of() : List.copyOf(customers);
        zones = zones == null ? List.of() : List.copyOf(zones);
    }

    /**
     * Finds a service class by name.
     *
     * @param name the name, may be null
     * @return the service class, or empty if none has this name
     */
    @JsonIgnore
    public Optional<ServiceClass> serviceClass(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Finds a customer by name.
     *
     * @param name the name, may be null
     * @return the customer, or empty if none has this name
     */
    @JsonIgnore
    public Optional<CustomerPolicy> customer(String name) {
        return customers.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Finds an availability zone by name.
     *
     * @param name the name, may be null
     * @return the zone, or empty if none has this name
     */
    @JsonIgnore
    public Optional<Zone> zone(String name) {
        return zones.stream().filter(z -> z.name().equals(name)).findFirst();
    }

    /**
     * Returns a copy of this document with a different state of one zone.
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
