package org.hickorymoor.domain.customer;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Finds the customer of an API key. Keeps SHA-256 digests only.
 *
 * <pre>{@code
 * ApiKeyIndex.Builder builder = ApiKeyIndex.builder();
 * builder.add(key, customer);
 * ApiKeyIndex index = builder.build();
 * CustomerPolicy owner = index.find(presentedKey);
 * }</pre>
 *
 * <p>Instances are immutable and thread-safe. An index takes 44 bytes per key in flat arrays.
 */
public final class ApiKeyIndex {

  private static final int DIGEST_BYTES = 32;

  /** First eight bytes of each digest, in ascending order. */
  private final long[] prefixes;

  /** The digests in the order of their prefixes, one after the other. */
  private final byte[] digests;

  /** Index in {@link #customers} of each digest's owner. */
  private final int[] owners;

  private final List<CustomerPolicy> customers;

  private ApiKeyIndex(
      long[] prefixes, byte[] digests, int[] owners, List<CustomerPolicy> customers) {
    this.prefixes = prefixes;
    this.digests = digests;
    this.owners = owners;
    this.customers = customers;
  }

  /** Returns a builder of an index. */
  public static Builder builder() {
    return new Builder();
  }

  private static HashCode digest(String key) {
    return Hashing.sha256().hashString(key, UTF_8);
  }

  /** Returns the number of keys. */
  public int size() {
    return prefixes.length;
  }

  /**
   * Returns the customer of a key.
   *
   * <p>The search looks at the digest of the presented key, of which a caller can't choose the
   * bytes; the digests themselves are compared in constant time.
   *
   * @param key the key as presented by a caller
   * @return the customer, or null if no customer has the key
   */
  public @Nullable CustomerPolicy find(String key) {
    byte[] digest = digest(key).asBytes();
    long prefix = ByteBuffer.wrap(digest).getLong();
    int found = Arrays.binarySearch(prefixes, prefix);
    if (found < 0) {
      return null;
    }
    while (found > 0 && prefixes[found - 1] == prefix) {
      found--;
    }
    CustomerPolicy owner = null;
    for (int i = found; i < prefixes.length && prefixes[i] == prefix; i++) {
      byte[] stored = Arrays.copyOfRange(digests, i * DIGEST_BYTES, (i + 1) * DIGEST_BYTES);
      if (MessageDigest.isEqual(stored, digest)) {
        owner = customers.get(owners[i]);
      }
    }
    return owner;
  }

  /** Collects the keys of an index. Not thread-safe. */
  public static final class Builder {

    private final Map<HashCode, Integer> ownerByDigest = new HashMap<>();
    private final List<CustomerPolicy> customers = new ArrayList<>();

    private Builder() {}

    /**
     * Gives a key to a customer, unless another customer has it. All keys of a customer are added
     * one after the other.
     *
     * @param key the key
     * @param customer the customer
     * @return the customer that has the key now
     */
    public CustomerPolicy add(String key, CustomerPolicy customer) {
      if (customers.isEmpty() || !customers.get(customers.size() - 1).equals(customer)) {
        customers.add(customer);
      }
      Integer previous = ownerByDigest.putIfAbsent(digest(key), customers.size() - 1);
      return previous == null ? customer : customers.get(previous);
    }

    /** Returns the index of all keys added so far. */
    public ApiKeyIndex build() {
      List<HashCode> sorted = new ArrayList<>(ownerByDigest.keySet());
      sorted.sort((a, b) -> Long.compare(prefix(a), prefix(b)));
      long[] prefixes = new long[sorted.size()];
      byte[] digests = new byte[sorted.size() * DIGEST_BYTES];
      int[] owners = new int[sorted.size()];
      for (int i = 0; i < prefixes.length; i++) {
        HashCode digest = sorted.get(i);
        prefixes[i] = prefix(digest);
        digest.writeBytesTo(digests, i * DIGEST_BYTES, DIGEST_BYTES);
        owners[i] = ownerByDigest.getOrDefault(digest, 0);
      }
      return new ApiKeyIndex(prefixes, digests, owners, List.copyOf(customers));
    }

    private static long prefix(HashCode digest) {
      // HashCode.asLong is little-endian; the search reads the digest's bytes in big-endian order.
      return Long.reverseBytes(digest.asLong());
    }
  }
}
