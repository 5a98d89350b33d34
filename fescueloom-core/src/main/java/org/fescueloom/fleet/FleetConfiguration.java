package org.fescueloom.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds one version of the settings of queues and customers. Immutable. */
public final class FleetConfiguration {
    private final long version;
    private final Map<String, QueuePolicy> queues = new HashMap<>();

    /** The queues of each host, those with the longest path prefix first. */
    private final Map<String, List<QueuePolicy>> queuesByHost = new HashMap<>();

    private final Map<String, CustomerSettings> customers = new HashMap<>();
    private final Map<String, String> customersByKey = new HashMap<>();

    /**
     * Creates a configuration.
     *
     * @param version the version; a later configuration has a higher version
     * @param queues the queues, not null
     * @param customers the customers, not null
     */
    public FleetConfiguration(
            long version, List<QueuePolicy> queues, List<CustomerSettings> customers) {
        this.version = version;
        for (QueuePolicy queue : queues) {
            this.queues.put(queue.name(), queue);
            queuesByHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
        }
        queuesByHost
                .values()
                .forEach(
                        list ->
                                list.sort(
                                        Comparator.comparingInt(
                                                        (QueuePolicy q) -> q.pathPrefix().length())
                                                .reversed()));
        for (CustomerSettings customer : customers) {
            this.customers.put(customer.name(), customer);
            customer.apiKeys().forEach(key -> customersByKey.put(key, customer.name()));
        }
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Finds the queue of a request: of the host's queues whose path prefix matches, the one with
     * the longest prefix.
     *
     * @param host the host name that the caller used, not null
     * @param path the path, not null
     * @return the queue, or empty if there is none
     */
    public Optional<QueuePolicy> queueFor(String host, String path) {
        for (QueuePolicy queue : queuesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(queue.pathPrefix())) {
                return Optional.of(queue);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a queue by its name.
     *
     * @param name the name, not null
     * @return the queue, or empty if there is none
     */
    public Optional<QueuePolicy> queue(String name) {
        return Optional.ofNullable(queues.get(name));
    }

    /**
     * Finds the customer that owns an API key.
     *
     * @param key the API key, not null
     * @return the name of the customer, or empty if no customer owns the key
     */
    public Optional<String> customerForKey(String key) {
        return Optional.ofNullable(customersByKey.get(key));
    }

    /**
     * Returns the number of accelerators that are guaranteed to a customer.
     *
     * @param customer the name of the customer, not null
     * @return the number; 0 for an unknown customer
     */
    public long guaranteedAccelerators(String customer) {
        CustomerSettings settings = customers.get(customer);
        return settings == null ? 0 : settings.guaranteedAccelerators();
    }
}
