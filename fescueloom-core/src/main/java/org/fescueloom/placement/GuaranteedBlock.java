package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.GuaranteedShape;

/**
 * Represents one block of a customer's guaranteed shape. Blocks are claimed by gangs and placed by
 * layouts.
 *
 * @param customer the customer, not null
 * @param name the name, unique for the customer, not null; it consists of size, adjacency and a
 *     number, such as "8/worker#0", so that it stays the same when the order of the shapes changes
 * @param accelerators the number of accelerators in the block, at least 1
 * @param adjacency the kind of topology domain that must contain the accelerators, not null
 */
public record GuaranteedBlock(String customer, String name, int accelerators, Adjacency adjacency) {
    /** Checks that no component is null. */
    public GuaranteedBlock {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(adjacency, "adjacency");
    }

    /**
     * Lists the blocks of all customers.
     *
     * @param customers the customers, not null
     * @return the blocks, never null
     */
    public static List<GuaranteedBlock> allOf(List<CustomerPolicy> customers) {
        List<GuaranteedBlock> blocks = new ArrayList<>();
        for (CustomerPolicy customer : customers) {
            Map<String, Integer> counts = new HashMap<>();
            for (GuaranteedShape shape : customer.guaranteedShapes()) {
                String kind = shape.accelerators() + "/" + shape.adjacency().text();
                for (int i = 0; i < shape.blocks(); i++) {
                    int number = counts.merge(kind, 1, Integer::sum) - 1;
                    blocks.add(
                            new GuaranteedBlock(
                                    customer.name(),
                                    kind + "#" + number,
                                    shape.accelerators(),
                                    shape.adjacency()));
                }
            }
        }
        return blocks;
    }

    /**
     * Returns the guaranteed shape that consists of the given number of blocks like this block.
     *
     * @param blocks the number of blocks, at least 1
     * @return the shape, never null
     */
    public GuaranteedShape shape(int blocks) {
        return new GuaranteedShape(blocks, accelerators, adjacency);
    }
}
