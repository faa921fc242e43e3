package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// SharingGroup identifies the accounts that share cached prompts, which are all but the
// dedicated ones. It is empty if no account is dedicated. When an account becomes dedicated, the
// others form another group and stop using the prompts that it has cached together with them.
// All gateways derive the same group from the names of the dedicated accounts.
type SharingGroup string

// sharingGroup returns the group of the accounts that are not among the dedicated ones.
func sharingGroup(dedicated []string) SharingGroup {
	if len(dedicated) == 0 {
		return ""
	}
	names := slices.Compact(slices.Sorted(slices.Values(dedicated)))
	var b []byte
	for _, name := range names {
		b = binary.AppendUvarint(b, uint64(len(name)))
		b = append(b, name...)
	}
	sum := sha256.Sum256(b)
	return SharingGroup(hex.EncodeToString(sum[:]))
}

// indexDedicated builds the indexes for IsDedicated and SharingGroup.
func (c *Config) indexDedicated() {
	c.dedicated = make(map[string]bool, len(c.DedicatedAccounts))
	for _, name := range c.DedicatedAccounts {
		c.dedicated[name] = true
	}
	c.sharingGroup = sharingGroup(c.DedicatedAccounts)
}

// IsDedicated reports whether the account of a name is dedicated.
func (c *Config) IsDedicated(account string) bool { return c.dedicated[account] }

// SharingGroup returns the group of the accounts that are not dedicated.
func (c *Config) SharingGroup() SharingGroup { return c.sharingGroup }
