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
 * Is one block of a customer's guaranteed shapes, the unit that is claimed and laid out.
 *
 * @param customer the customer, not null
 * @param name the name, unique for the customer and made of size, adjacency and a number, such as
 *     "8/worker#0", so that it outlives a change of the order of the shapes, not null
 * @param accelerators how many accelerators the block has, at least 1
 * @param adjacency within what bound they lie, not null
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
     * Returns the shape that a number of such blocks make up.
     *
     * @param blocks how many blocks, at least 1
     * @return the shape, never null
     */
    public GuaranteedShape shape(int blocks) {
        return new GuaranteedShape(blocks, accelerators, adjacency);
    }
}
